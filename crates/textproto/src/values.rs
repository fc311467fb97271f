//! Checks of single values. Each check reports a problem with an invalid value and returns a placeholder, so that the other
//! values can be checked too.
use crate::units::quantity;
use crate::{Checks, Unit};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};

/// The shortest allowed time, in nanoseconds.
const MIN_TIME_NS: f64 = 1.0;
/// The lowest allowed rate, in kB per second.
const MIN_RATE_KB: f64 = 1e-3;
/// The smallest allowed size, in bytes.
const MIN_SIZE_BYTES: f64 = 1.0;
/// The address that is returned in place of a malformed one.
const PLACEHOLDER_ADDRESS: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

impl Checks<'_> {
    /// Parses a quantity with a unit, which must be at least `min`; returns it in the unit that [`Unit`] states.
    pub fn measure(&mut self, path: &str, text: &str, unit: Unit, min: f64) -> f64 {
        if text.is_empty() {
            self.report_problem(path, format!("is missing: {}", unit.allowed()));
            return min;
        }
        match quantity(text, unit) {
            Ok(value) if value >= min => return value,
            Ok(_) => self.report_problem(path, format!("{text:?} is too small")),
            Err(error) => self.report_problem(path, error.to_string()),
        }
        min
    }

    /// Parses a time, which must be at least 1 ns; returns it in nanoseconds.
    pub fn time(&mut self, path: &str, text: &str) -> u64 {
        self.measure(path, text, Unit::Time, MIN_TIME_NS) as u64
    }

    /// Parses a rate, which must be at least 1 B/s; returns it in kB per second.
    pub fn rate(&mut self, path: &str, text: &str) -> f64 {
        self.measure(path, text, Unit::Rate, MIN_RATE_KB)
    }

    /// Parses a size, which must be at least 1 byte; returns it in bytes.
    pub fn size(&mut self, path: &str, text: &str) -> usize {
        self.measure(path, text, Unit::Size, MIN_SIZE_BYTES) as usize
    }

    /// Checks that a number is from `min` to `max`; returns `min` in place of any other.
    pub fn number_in_range(&mut self, path: &str, value: f64, min: f64, max: f64) -> f64 {
        if !(min..=max).contains(&value) {
            self.report_problem(path, format!("is {value}; allowed: {min} to {max}"));
            return min;
        }
        value
    }

    /// Checks that an integer is from `min` to `max`; returns `min` in place of any other.
    pub fn count(&mut self, path: &str, value: u32, min: u32, max: u32) -> u32 {
        self.number_in_range(path, f64::from(value), f64::from(min), f64::from(max)) as u32
    }

    /// Parses an IP address with a port.
    pub fn address(&mut self, path: &str, text: &str) -> SocketAddr {
        if let Ok(address) = text.parse() {
            return address;
        }
        let problem = format!("{text:?} is not an address with a port such as \"127.0.0.1:7400\"");
        self.report_problem(path, problem);
        PLACEHOLDER_ADDRESS.into()
    }

    /// Checks that the names in the repeated field `field` are present and unique. `name_suffix` is the path from an element to
    /// its name, such as `.name`, or empty if the elements themselves are the names.
    pub fn unique_names(&mut self, field: &str, name_suffix: &str, names: &[&str]) -> Vec<String> {
        let mut first_uses: HashMap<&str, usize> = HashMap::new();
        for (index, name) in names.iter().enumerate() {
            let path = format!("{field}[{index}]{name_suffix}");
            if name.is_empty() {
                self.report_problem(&path, "is missing: a name");
            } else if let Some(first) = first_uses.insert(name, index) {
                let problem =
                    format!("{name:?} is taken by {field}[{first}]; names must be unique");
                self.report_problem(&path, problem);
            }
        }
        names.iter().map(|name| (*name).to_owned()).collect()
    }
}
