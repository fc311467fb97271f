//! Errors of reading and comparing descriptions.
use thiserror::Error;

/// Why descriptions can't be read or compared.
#[derive(Debug, Error)]
pub enum ApiError {
    /// A document or a recorded message is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The AsyncAPI document has no operation of this name.
    #[error("the AsyncAPI document has no operation {operation:?}")]
    MissingOperation {
        /// Name of the operation.
        operation: String,
    },
    /// A message of an operation is a reference without a target.
    #[error("a message of operation {operation:?} is a dangling reference: {message}")]
    DanglingReference {
        /// Name of the operation.
        operation: String,
        /// The reference, as JSON.
        message: String,
    },
    /// The OpenAPI document lists no paths.
    #[error("the OpenAPI document has no paths")]
    MissingPaths,
    /// A schema can't be compiled.
    #[error("{name}: invalid schema: {source}")]
    Schema {
        /// Name of the message or the response that the schema describes.
        name: String,
        /// Why the schema can't be compiled.
        source: Box<jsonschema::ValidationError<'static>>,
    },
    /// The two documents are neither both AsyncAPI nor both OpenAPI.
    #[error("only two AsyncAPI or two OpenAPI documents can be compared")]
    DifferentKinds,
}
