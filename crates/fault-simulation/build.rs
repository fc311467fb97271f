//! Compiles `proto/case.proto` without an installed protoc. The descriptors are needed to read the text format, and the
//! generated types hold what was read.
use prost::Message;
use std::{env, fs, path::PathBuf};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/case.proto");
    let descriptors = protox::compile(["case.proto"], ["proto"])?;
    let out = PathBuf::from(env::var("OUT_DIR")?);
    fs::write(out.join("case.binpb"), descriptors.encode_to_vec())?;
    prost_build::Config::new().compile_fds(descriptors)?;
    Ok(())
}
