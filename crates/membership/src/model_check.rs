//! Model checking of the membership state machine (test builds only).
mod tests;
