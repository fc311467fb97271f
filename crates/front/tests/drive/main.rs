//! Drives a core through each hard case by hand, and through random faults, and checks what it puts out.
#[path = "../common/mod.rs"]
mod common;
mod harness;
mod players;
mod random_run;
mod sessions;
mod set_ups;
