//! The cases that are compiled into the program.

/// Name and text of each built-in case, in the order in which they are listed.
pub const BUILT_IN_CASES: [(&str, &str); 23] = [
    ("calm", include_str!("../../cases/calm.textproto")),
    ("deaths", include_str!("../../cases/deaths.textproto")),
    ("loss", include_str!("../../cases/loss.textproto")),
    ("rough", include_str!("../../cases/rough.textproto")),
    ("stopped", include_str!("../../cases/stopped.textproto")),
    ("partition", include_str!("../../cases/partition.textproto")),
    ("apart", include_str!("../../cases/apart.textproto")),
    ("deaf", include_str!("../../cases/deaf.textproto")),
    ("oneway", include_str!("../../cases/oneway.textproto")),
    ("restart", include_str!("../../cases/restart.textproto")),
    ("seeds", include_str!("../../cases/seeds.textproto")),
    ("growth", include_str!("../../cases/growth.textproto")),
    ("flood", include_str!("../../cases/flood.textproto")),
    ("narrow", include_str!("../../cases/narrow.textproto")),
    ("board", include_str!("../../cases/board.textproto")),
    ("mixed", include_str!("../../cases/mixed.textproto")),
    ("replace", include_str!("../../cases/replace.textproto")),
    ("power", include_str!("../../cases/power.textproto")),
    (
        "power-calm",
        include_str!("../../cases/power-calm.textproto"),
    ),
    (
        "power-fronts",
        include_str!("../../cases/power-fronts.textproto"),
    ),
    (
        "power-hall",
        include_str!("../../cases/power-hall.textproto"),
    ),
    ("power-few", include_str!("../../cases/power-few.textproto")),
    (
        "power-disks",
        include_str!("../../cases/power-disks.textproto"),
    ),
];
