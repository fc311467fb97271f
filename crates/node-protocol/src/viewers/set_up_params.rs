//! Parses and checks the fields of a set-up request.
use super::ViewerSetUp;
use crate::Tag;
use thiserror::Error;

/// The largest hint of a viewing duration, in milliseconds.
const MAX_DURATION_HINT_MS: f64 = 1e12;
/// Numbers of cells and rungs must be below this limit.
const SMALL_NUMBER_LIMIT: u32 = 65_536;

/// The name of a field that is missing or out of range.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("field {0} is missing or out of range")]
pub struct InvalidField(pub &'static str);

/// The parsed fields of a set-up request. Names of classes and tenants are still text, because they are looked up where the
/// settings are known.
///
/// The names on the wire are `class`, `tenant`, `left`, `retry`, `key`, `hint` and `extras`, and within `extras` `home`,
/// `copies`, `top`, `viewer`, `again`, `moved` and `at`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SetUpParams {
    /// The name of the class (`class`).
    pub class: String,
    /// The name of the tenant (`tenant`), if the viewer states one.
    pub tenant: Option<String>,
    /// How long the viewer waits for an answer, in milliseconds (`left`). May be 0 only if the session already plays.
    pub max_wait_ms: u64,
    /// Whether the viewer states that this is a retry (`retry` or `again`).
    pub is_retry: bool,
    /// Whether the viewer states that it opens a migrated session again (`moved`).
    pub is_migration: bool,
    /// The title as the viewer sent it (`key`), 16 hex digits. Servers are sent the same text.
    pub title_text: String,
    /// The title as a number.
    pub title: u64,
    /// How long the viewer expects to watch, in milliseconds (`hint`), if it states that.
    pub duration_hint_ms: Option<f64>,
    /// The first of the cells that have the title (`home`).
    pub first_cell: u32,
    /// The number of cells that have the title (`copies`), at least 1.
    pub cell_count: u32,
    /// The highest rung that the viewer can play (`top`).
    pub max_rung: u8,
    /// The viewer's id (`viewer`), 16 hex digits on the wire.
    pub viewer: u64,
    /// The id of the server at which the session already plays (`at`), if it does.
    pub current_server: Option<String>,
}

impl ViewerSetUp {
    /// Parses and checks the fields of the request.
    ///
    /// # Errors
    /// The first field that is missing or out of range.
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
        params.title = sixteen_hex_digits(key).ok_or(InvalidField("key"))?;
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
    /// Parses `extras`, a text of the form `name:value;name:value`, in which `home`, `copies`, `top` and `viewer` are required.
    fn read_extras(&mut self, extras: &str) -> Result<(), InvalidField> {
        let mut required_fields = 0;
        for field in extras.split(';').filter(|field| !field.is_empty()) {
            let (name, value) = field.split_once(':').ok_or(InvalidField("extras"))?;
            self.read_extra(name, value)?;
            required_fields += u32::from(matches!(name, "home" | "copies" | "top" | "viewer"));
        }
        if required_fields != 4 {
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
            "viewer" => self.viewer = sixteen_hex_digits(value).ok_or(InvalidField("viewer"))?,
            "again" => self.is_retry |= flag(Some(value)).ok_or(InvalidField("again"))?,
            "moved" => self.is_migration = flag(Some(value)).ok_or(InvalidField("moved"))?,
            "at" => self.current_server = Some(value.to_owned()),
            _ => {} // Unknown fields are allowed, so that later viewers may send more.
        }
        Ok(())
    }

    /// Parses how long the viewer waits. For a session that already plays the field has no meaning, and may be invalid.
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
    let is_in_range = hint.is_finite() && (0.0..=MAX_DURATION_HINT_MS).contains(&hint);
    is_in_range.then_some(hint)
}

/// Parses a number that consists of digits only; `parse` alone would accept a sign.
fn decimal(text: &str) -> Option<u64> {
    let is_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_digits {
        return None;
    }
    text.parse().ok()
}

fn small_number(text: &str) -> Option<u32> {
    let number = u32::try_from(decimal(text)?).ok()?;
    (number < SMALL_NUMBER_LIMIT).then_some(number)
}

/// Parses a number of exactly 16 hex digits.
fn sixteen_hex_digits(text: &str) -> Option<u64> {
    Tag::parse(text)?;
    u64::from_str_radix(text, 16).ok()
}

/// Parses a flag: `1` means set; `0` or a missing field means not set.
fn flag(text: Option<&str>) -> Option<bool> {
    match text {
        None | Some("0") => Some(false),
        Some("1") => Some(true),
        Some(_) => None,
    }
}
