//! Tests of a core by its inputs and outputs: individual cases, and runs with random faults.
#[path = "../common/mod.rs"]
mod common;
mod harness;
mod players;
mod random_run;
mod sessions;
mod set_ups;
