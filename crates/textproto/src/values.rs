//! Checks of single values. Each reports a problem and returns an allowed value in its place, so that checking can go on.
use crate::units::quantity;
use crate::{Checks, Unit};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};

/// The least time in nanoseconds.
const MIN_TIME: f64 = 1.0;
/// The least rate in kB a second.
const MIN_RATE: f64 = 1e-3;
/// The least size in bytes.
const MIN_SIZE: f64 = 1.0;
/// Stands for an address that can't be read.
const PLACEHOLDER_ADDRESS: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

impl Checks<'_> {
    /// A quantity with a unit, at least `min`.
    pub fn measure(&mut self, path: &str, text: &str, unit: Unit, min: f64) -> f64 {
        if text.is_empty() {
            self.wrong(path, format!("is missing: {}", unit.allowed()));
            return min;
        }
        match quantity(text, unit) {
            Ok(value) if value >= min => return value,
            Ok(_) => self.wrong(path, format!("{text:?} is too small")),
            Err(error) => self.wrong(path, error.to_string()),
        }
        min
    }

    /// A time in nanoseconds, more than zero.
    pub fn time(&mut self, path: &str, text: &str) -> u64 {
        self.measure(path, text, Unit::Time, MIN_TIME) as u64
    }

    /// A rate in kB a second, more than zero.
    pub fn rate(&mut self, path: &str, text: &str) -> f64 {
        self.measure(path, text, Unit::Rate, MIN_RATE)
    }

    /// A size in bytes, more than zero.
    pub fn size(&mut self, path: &str, text: &str) -> usize {
        self.measure(path, text, Unit::Size, MIN_SIZE) as usize
    }

    /// A number from `min` to `max`.
    pub fn within(&mut self, path: &str, value: f64, min: f64, max: f64) -> f64 {
        if !(min..=max).contains(&value) {
            self.wrong(path, format!("is {value}; allowed: {min} to {max}"));
            return min;
        }
        value
    }

    /// An integer from `min` to `max`.
    pub fn count(&mut self, path: &str, value: u32, min: u32, max: u32) -> u32 {
        self.within(path, f64::from(value), f64::from(min), f64::from(max)) as u32
    }

    /// An address with a port.
    pub fn address(&mut self, path: &str, text: &str) -> SocketAddr {
        if let Ok(address) = text.parse() {
            return address;
        }
        let what = format!("{text:?} is not an address with a port such as \"127.0.0.1:7400\"");
        self.wrong(path, what);
        PLACEHOLDER_ADDRESS.into()
    }

    /// Names of the repeated field `what`, each present and unique. `part` is the field within it that holds the name, as
    /// ".name", or empty where it is the name itself.
    pub fn names(&mut self, what: &str, part: &str, names: &[&str]) -> Vec<String> {
        let mut first_uses: HashMap<&str, usize> = HashMap::new();
        for (i, name) in names.iter().enumerate() {
            let path = format!("{what}[{i}]{part}");
            if name.is_empty() {
                self.wrong(&path, "is missing: a name");
            } else if let Some(first) = first_uses.insert(name, i) {
                let what = format!("{name:?} is taken by {what}[{first}]; names stand once");
                self.wrong(&path, what);
            }
        }
        names.iter().map(|name| (*name).to_owned()).collect()
    }
}
