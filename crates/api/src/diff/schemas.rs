//! Compares two versions of a JSON schema.
use super::{keys, list, resolved, values, Comparison, Sender, Set, COMPARED, PROSE};
use serde_json::Value;

impl Comparison<'_> {
    pub(super) fn schema(&mut self, sender: Sender, at: &str, before: &Value, after: &Value) {
        let before = resolved(self.old, before).clone();
        let after = resolved(self.new, after).clone();
        if let (Some(was), Some(is)) = (values(&before), values(&after)) {
            self.enum_values(sender, at, &was, &is);
            return;
        }
        self.types(sender, at, &before, &after);
        self.bounds(sender, at, &before, &after);
        self.properties(sender, at, &before, &after);
        if before["items"].is_object() && after["items"].is_object() {
            let place = format!("{at}[]");
            self.schema(sender, &place, &before["items"], &after["items"]);
        }
        self.unknown_keywords(sender, at, &before, &after);
    }

    fn enum_values(&mut self, sender: Sender, at: &str, before: &[Value], after: &[Value]) {
        for value in before.iter().filter(|value| !after.contains(value)) {
            self.found(sender, at, Set::Narrower, format!("{value} is gone"));
        }
        for value in after.iter().filter(|value| !before.contains(value)) {
            self.found(sender, at, Set::Wider, format!("{value} is new"));
        }
    }

    fn types(&mut self, sender: Sender, at: &str, before: &Value, after: &Value) {
        let (was, is) = (list(&before["type"]), list(&after["type"]));
        match (was.is_empty(), is.is_empty()) {
            (false, true) => {
                let what = "any type is allowed on one side only";
                return self.found(sender, at, Set::Wider, what);
            }
            (true, false) => {
                let what = "any type is allowed on one side only";
                return self.found(sender, at, Set::Narrower, what);
            }
            (true, true) | (false, false) => {}
        }
        let gone: Vec<&Value> = was.iter().filter(|name| !is.contains(name)).collect();
        let new: Vec<&Value> = is.iter().filter(|name| !was.contains(name)).collect();
        match (gone.is_empty(), new.is_empty()) {
            (false, false) => {
                self.found(sender, at, Set::Other, format!("was {gone:?}, is {new:?}"));
            }
            (false, true) => {
                self.found(sender, at, Set::Narrower, format!("no {gone:?} any more"));
            }
            (true, false) => self.found(sender, at, Set::Wider, format!("{new:?} too")),
            (true, true) => {}
        }
    }

    /// A keyword that is not compared by its meaning counts as breaking where it changed.
    fn unknown_keywords(&mut self, sender: Sender, at: &str, before: &Value, after: &Value) {
        for word in keys(before).union(&keys(after)) {
            let (was, is) = (before.get(word), after.get(word));
            let known = COMPARED.contains(&word.as_str()) || PROSE.contains(&word.as_str());
            if known || was == is {
                continue;
            }
            let shown =
                |value: Option<&Value>| value.map_or("nothing".to_owned(), Value::to_string);
            let (was, is) = (shown(was), shown(is));
            let what = format!("{word} was {was}, is {is}: taken as breaking");
            self.found(sender, at, Set::Other, what);
        }
    }

    fn bounds(&mut self, sender: Sender, at: &str, before: &Value, after: &Value) {
        for (word, least) in [
            ("minimum", true),
            ("minLength", true),
            ("maximum", false),
            ("maxLength", false),
        ] {
            let open = if least {
                f64::NEG_INFINITY
            } else {
                f64::INFINITY
            };
            let bound = |schema: &Value| schema[word].as_f64().unwrap_or(open);
            let (was, is) = (bound(before), bound(after));
            if was != is {
                let set = if (is < was) == least {
                    Set::Wider
                } else {
                    Set::Narrower
                };
                self.found(sender, at, set, format!("{word} was {was}, is {is}"));
            }
        }
    }

    fn properties(&mut self, sender: Sender, at: &str, before: &Value, after: &Value) {
        match (is_closed(before), is_closed(after)) {
            (true, false) => self.found(sender, at, Set::Wider, "other properties are allowed"),
            (false, true) if before["properties"].is_object() => {
                self.found(sender, at, Set::Narrower, "no other properties are allowed");
            }
            _ => {}
        }
        let (was, is) = (&before["properties"], &after["properties"]);
        for name in keys(was).union(&keys(is)) {
            let place = format!("{at}.{name}");
            match (was.get(name), is.get(name)) {
                (Some(old), Some(new)) => {
                    let required = (requires(before, name), requires(after, name));
                    self.requirement(sender, &place, required);
                    self.schema(sender, &place, old, new);
                }
                (Some(_), None) => {
                    let required = requires(before, name);
                    self.property_removed(sender, &place, required, is_closed(after));
                }
                (None, Some(_)) => {
                    let required = requires(after, name);
                    self.property_added(sender, &place, required, is_closed(before));
                }
                (None, None) => {}
            }
        }
    }

    /// `required`: whether the property was required before, and is now.
    fn requirement(&mut self, sender: Sender, place: &str, required: (bool, bool)) {
        match required {
            (false, true) => self.found(sender, place, Set::Narrower, "must be there now"),
            (true, false) => self.found(sender, place, Set::Wider, "may be missing now"),
            (true, true) | (false, false) => {}
        }
    }

    fn property_removed(&mut self, sender: Sender, place: &str, required: bool, is_closed: bool) {
        let what = if required {
            "a needed property is gone"
        } else {
            "is gone"
        };
        // In an open object any value of the property is allowed now.
        let set = if is_closed {
            set_in_closed_object(required, Set::Narrower)
        } else {
            Set::Wider
        };
        self.found(sender, place, set, what);
    }

    fn property_added(&mut self, sender: Sender, place: &str, required: bool, was_closed: bool) {
        let what = if required {
            "new, and must be there"
        } else {
            "new, optional"
        };
        // In an open object any value of the property was allowed before.
        let set = if was_closed {
            set_in_closed_object(required, Set::Wider)
        } else {
            Set::Narrower
        };
        self.found(sender, place, set, what);
    }
}

/// How the set of a closed object changes when a property is added or removed. If the property is required, no object is allowed both
/// before and after.
fn set_in_closed_object(required: bool, set_if_optional: Set) -> Set {
    if required {
        Set::Other
    } else {
        set_if_optional
    }
}

/// Whether an object can have no other properties than those listed.
fn is_closed(schema: &Value) -> bool {
    schema["additionalProperties"] == false
}

/// Whether a property must be present.
fn requires(schema: &Value, name: &str) -> bool {
    list(&schema["required"])
        .iter()
        .any(|required| required == name)
}
