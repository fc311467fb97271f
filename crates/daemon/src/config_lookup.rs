//! Conversion between the configuration's names and the core's numbers.
use crankpaddle::Idempotency;
use crankpaddle_config::Config;

/// The name with this number; empty if there is none.
pub(crate) fn name_at(names: &[String], index: usize) -> String {
    names.get(index).cloned().unwrap_or_default()
}

/// The number of a name; `None` if the name is not configured.
pub(crate) fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// The number of a tenant; `None` if it is not configured. If no tenant is configured at all, the empty name has number 0.
pub(crate) fn tenant_index(config: &Config, name: &str) -> Option<u16> {
    if name.is_empty() && config.tenants.is_empty() {
        return Some(0);
    }
    index_of(&config.tenants, name).map(|index| index as u16)
}

/// Whether a set-up of this class is paid for and must run at most once.
pub(crate) fn is_paid_class(config: &Config, class: usize) -> bool {
    config
        .settings
        .classes
        .get(class)
        .is_some_and(|class| class.idempotency == Idempotency::AtMostOnce)
}
