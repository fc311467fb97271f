//! Compares two versions of a JSON schema.
use super::{
    as_list, enum_values, keys, resolved, Comparison, Sender, SetChange, ANNOTATION_KEYWORDS,
    COMPARED_KEYWORDS,
};
use serde_json::Value;

impl Comparison<'_> {
    /// Compares two versions of a schema, with all schemas in it.
    pub(super) fn schema(&mut self, sender: Sender, location: &str, before: &Value, after: &Value) {
        let before = resolved(self.old, before).clone();
        let after = resolved(self.new, after).clone();
        if let (Some(was), Some(is)) = (enum_values(&before), enum_values(&after)) {
            self.compare_enums(sender, location, &was, &is);
            return;
        }
        self.types(sender, location, &before, &after);
        self.bounds(sender, location, &before, &after);
        self.properties(sender, location, &before, &after);
        if before["items"].is_object() && after["items"].is_object() {
            let element = format!("{location}[]");
            self.schema(sender, &element, &before["items"], &after["items"]);
        }
        self.unknown_keywords(sender, location, &before, &after);
    }

    fn compare_enums(&mut self, sender: Sender, location: &str, before: &[Value], after: &[Value]) {
        for value in before.iter().filter(|value| !after.contains(value)) {
            self.add(
                sender,
                location,
                SetChange::Narrower,
                format!("{value} was removed"),
            );
        }
        for value in after.iter().filter(|value| !before.contains(value)) {
            self.add(
                sender,
                location,
                SetChange::Wider,
                format!("{value} was added"),
            );
        }
    }

    fn types(&mut self, sender: Sender, location: &str, before: &Value, after: &Value) {
        let (was, is) = (as_list(&before["type"]), as_list(&after["type"]));
        match (was.is_empty(), is.is_empty()) {
            (false, true) => {
                let description = "any type is allowed now";
                return self.add(sender, location, SetChange::Wider, description);
            }
            (true, false) => {
                let description = "any type was allowed before";
                return self.add(sender, location, SetChange::Narrower, description);
            }
            (true, true) | (false, false) => {}
        }
        let removed: Vec<&Value> = was.iter().filter(|name| !is.contains(name)).collect();
        let added: Vec<&Value> = is.iter().filter(|name| !was.contains(name)).collect();
        match (removed.is_empty(), added.is_empty()) {
            (false, false) => {
                self.add(
                    sender,
                    location,
                    SetChange::Incomparable,
                    format!("the type was {removed:?}, is {added:?}"),
                );
            }
            (false, true) => {
                self.add(
                    sender,
                    location,
                    SetChange::Narrower,
                    format!("the type {removed:?} was removed"),
                );
            }
            (true, false) => self.add(
                sender,
                location,
                SetChange::Wider,
                format!("the type {added:?} was added"),
            ),
            (true, true) => {}
        }
    }

    /// Reports each changed keyword whose meaning the comparison doesn't know as breaking.
    fn unknown_keywords(&mut self, sender: Sender, location: &str, before: &Value, after: &Value) {
        for keyword in keys(before).union(&keys(after)) {
            let (was, is) = (before.get(keyword), after.get(keyword));
            let known = COMPARED_KEYWORDS.contains(&keyword.as_str())
                || ANNOTATION_KEYWORDS.contains(&keyword.as_str());
            if known || was == is {
                continue;
            }
            let shown =
                |value: Option<&Value>| value.map_or("nothing".to_owned(), Value::to_string);
            let (was, is) = (shown(was), shown(is));
            let description = format!("{keyword} was {was}, is {is}: counts as breaking");
            self.add(sender, location, SetChange::Incomparable, description);
        }
    }

    fn bounds(&mut self, sender: Sender, location: &str, before: &Value, after: &Value) {
        for (keyword, is_minimum) in [
            ("minimum", true),
            ("minLength", true),
            ("maximum", false),
            ("maxLength", false),
        ] {
            let unbounded = if is_minimum {
                f64::NEG_INFINITY
            } else {
                f64::INFINITY
            };
            let bound = |schema: &Value| schema[keyword].as_f64().unwrap_or(unbounded);
            let (was, is) = (bound(before), bound(after));
            if was != is {
                let set_change = if (is < was) == is_minimum {
                    SetChange::Wider
                } else {
                    SetChange::Narrower
                };
                self.add(
                    sender,
                    location,
                    set_change,
                    format!("{keyword} was {was}, is {is}"),
                );
            }
        }
    }

    fn properties(&mut self, sender: Sender, location: &str, before: &Value, after: &Value) {
        match (is_closed(before), is_closed(after)) {
            (true, false) => self.add(
                sender,
                location,
                SetChange::Wider,
                "other properties are allowed now",
            ),
            (false, true) if before["properties"].is_object() => {
                self.add(
                    sender,
                    location,
                    SetChange::Narrower,
                    "other properties are not allowed any more",
                );
            }
            _ => {}
        }
        let (was, is) = (&before["properties"], &after["properties"]);
        for name in keys(was).union(&keys(is)) {
            let property = format!("{location}.{name}");
            match (was.get(name), is.get(name)) {
                (Some(old), Some(new)) => {
                    let required = (requires(before, name), requires(after, name));
                    self.requirement(sender, &property, required);
                    self.schema(sender, &property, old, new);
                }
                (Some(_), None) => {
                    let required = requires(before, name);
                    self.property_removed(sender, &property, required, is_closed(after));
                }
                (None, Some(_)) => {
                    let required = requires(after, name);
                    self.property_added(sender, &property, required, is_closed(before));
                }
                (None, None) => {}
            }
        }
    }

    /// Compares whether a property is required; `required` has the value before and the one now.
    fn requirement(&mut self, sender: Sender, property: &str, required: (bool, bool)) {
        match required {
            (false, true) => self.add(sender, property, SetChange::Narrower, "is required now"),
            (true, false) => self.add(sender, property, SetChange::Wider, "is optional now"),
            (true, true) | (false, false) => {}
        }
    }

    fn property_removed(
        &mut self,
        sender: Sender,
        property: &str,
        required: bool,
        is_closed: bool,
    ) {
        let description = if required {
            "a required property was removed"
        } else {
            "an optional property was removed"
        };
        // An object that allows other properties now allows any value of this one.
        let set_change = if is_closed {
            set_in_closed_object(required, SetChange::Narrower)
        } else {
            SetChange::Wider
        };
        self.add(sender, property, set_change, description);
    }

    fn property_added(&mut self, sender: Sender, property: &str, required: bool, was_closed: bool) {
        let description = if required {
            "a required property was added"
        } else {
            "an optional property was added"
        };
        // An object that allowed other properties before allowed any value of this one.
        let set_change = if was_closed {
            set_in_closed_object(required, SetChange::Wider)
        } else {
            SetChange::Narrower
        };
        self.add(sender, property, set_change, description);
    }
}

/// How the set of allowed objects changes when a property of a closed object is added or removed. If the property is required,
/// no object is allowed both before and after.
fn set_in_closed_object(required: bool, set_change_if_optional: SetChange) -> SetChange {
    if required {
        SetChange::Incomparable
    } else {
        set_change_if_optional
    }
}

/// Whether an object must not have other properties than those listed.
fn is_closed(schema: &Value) -> bool {
    schema["additionalProperties"] == false
}

/// Whether a property must be present.
fn requires(schema: &Value, name: &str) -> bool {
    as_list(&schema["required"])
        .iter()
        .any(|required| required == name)
}
