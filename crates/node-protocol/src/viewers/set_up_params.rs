//! The figures of a set-up.
use super::SetUp;
use crate::Tag;
use thiserror::Error;

/// The largest hint of a duration, milliseconds.
const MAX_DURATION_HINT: f64 = 1e12;
/// Bound of the numbers of cells and rungs.
const SMALL_LIMIT: u32 = 65_536;

/// The name of a field that is missing or out of range.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("field {0} is missing or out of range")]
pub struct InvalidField(pub &'static str);

/// What a set-up requests, in numbers; the names are looked up where the settings are known. The fields' names on the wire are the
/// protocol's: `left`, `retry`, `key`, `hint`, and in `extras` `home`, `copies`, `top`, `again`, `moved`, `at`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SetUpParams {
    /// Name of the class.
    pub class: String,
    /// Name of the tenant, where there are tenants.
    pub tenant: Option<String>,
    /// How long the viewer waits, milliseconds; 0 if the session plays already.
    pub max_wait_ms: u64,
    /// Whether the viewer states that this is a retry.
    pub is_retry: bool,
    /// Whether the viewer states that it opens a migrated session again.
    pub is_migration: bool,
    /// The title as the viewer sent it; servers are sent the same text.
    pub title_text: String,
    /// The title's number.
    pub title: u64,
    /// How long the viewer expects to watch, milliseconds.
    pub duration_hint_ms: Option<f64>,
    /// The first of the cells that have the title.
    pub first_cell: u32,
    /// How many cells have the title.
    pub cell_count: u32,
    /// The highest rung that the viewer can play.
    pub max_rung: u8,
    /// The viewer's number.
    pub viewer: u64,
    /// The server at which the session plays already, if it does.
    pub current_server: Option<String>,
}

impl SetUp {
    /// The figures of a set-up.
    ///
    /// # Errors
    /// A field is missing or out of range.
    pub fn set_up_params(&self) -> Result<SetUpParams, InvalidField> {
        let opt = |name| self.opts.get(name).map(String::as_str);
        let mut params = SetUpParams {
            class: opt("class").ok_or(InvalidField("class"))?.to_owned(),
            tenant: opt("tenant").map(str::to_owned),
            is_retry: flag(opt("retry")).ok_or(InvalidField("retry"))?,
            ..SetUpParams::default()
        };
        if let Some(hint) = opt("hint") {
            params.duration_hint_ms = Some(duration_hint(hint).ok_or(InvalidField("hint"))?);
        }
        let key = opt("key").ok_or(InvalidField("key"))?;
        params.title = hex(key).ok_or(InvalidField("key"))?;
        key.clone_into(&mut params.title_text);
        params.read_extras(opt("extras").ok_or(InvalidField("extras"))?)?;
        params.max_wait_ms = params.max_wait(opt("left"))?;
        if params.current_server.is_none() && self.blob.is_none() {
            return Err(InvalidField("blob"));
        }
        Ok(params)
    }
}

impl SetUpParams {
    /// Reads the fields of `extras`, a text of the form `name:value;name:value`. Four of them are required.
    fn read_extras(&mut self, extras: &str) -> Result<(), InvalidField> {
        let mut required = 0;
        for part in extras.split(';').filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once(':').ok_or(InvalidField("extras"))?;
            self.read_extra(name, value)?;
            required += u32::from(matches!(name, "home" | "copies" | "top" | "viewer"));
        }
        if required != 4 {
            return Err(InvalidField("extras"));
        }
        Ok(())
    }

    fn read_extra(&mut self, name: &str, value: &str) -> Result<(), InvalidField> {
        match name {
            "home" => self.first_cell = small_number(value).ok_or(InvalidField("home"))?,
            "copies" => {
                let copies = small_number(value).filter(|copies| *copies > 0);
                self.cell_count = copies.ok_or(InvalidField("copies"))?;
            }
            "top" => {
                let top = small_number(value).and_then(|top| u8::try_from(top).ok());
                self.max_rung = top.ok_or(InvalidField("top"))?;
            }
            "viewer" => self.viewer = hex(value).ok_or(InvalidField("viewer"))?,
            "again" => self.is_retry |= flag(Some(value)).ok_or(InvalidField("again"))?,
            "moved" => self.is_migration = flag(Some(value)).ok_or(InvalidField("moved"))?,
            "at" => self.current_server = Some(value.to_owned()),
            _ => {} // Fields may be added.
        }
        Ok(())
    }

    /// How long the viewer waits. The field has no meaning for a session that plays already.
    fn max_wait(&self, left: Option<&str>) -> Result<u64, InvalidField> {
        let left = left.and_then(decimal).filter(|left| *left > 0);
        if self.current_server.is_some() {
            return Ok(left.unwrap_or(0));
        }
        left.ok_or(InvalidField("left"))
    }
}

fn duration_hint(text: &str) -> Option<f64> {
    let hint: f64 = text.parse().ok()?;
    let is_in_range = hint.is_finite() && (0.0..=MAX_DURATION_HINT).contains(&hint);
    is_in_range.then_some(hint)
}

/// A number written in digits only, without a sign.
fn decimal(text: &str) -> Option<u64> {
    let is_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_digits {
        return None;
    }
    text.parse().ok()
}

fn small_number(text: &str) -> Option<u32> {
    let number = u32::try_from(decimal(text)?).ok()?;
    (number < SMALL_LIMIT).then_some(number)
}

/// A number of 16 hex digits.
fn hex(text: &str) -> Option<u64> {
    Tag::parse(text)?;
    u64::from_str_radix(text, 16).ok()
}

/// A flag: `1`, or `0` or missing where it is not set.
fn flag(text: Option<&str>) -> Option<bool> {
    match text {
        None | Some("0") => Some(false),
        Some("1") => Some(true),
        Some(_) => None,
    }
}
