//! Errors of reading and comparing descriptions.
use thiserror::Error;

/// Why descriptions can't be read or compared.
#[derive(Debug, Error)]
pub enum ApiError {
    /// A document or a sample is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The AsyncAPI document lacks an operation.
    #[error("AsyncAPI has no operation {operation:?}")]
    MissingOperation {
        /// The operation's name.
        operation: String,
    },
    /// A message of an operation has a dangling reference.
    #[error("a message of {operation:?} refers to nothing: {message}")]
    DanglingReference {
        /// The operation's name.
        operation: String,
        /// The message as the document has it.
        message: String,
    },
    /// The OpenAPI document lists no paths.
    #[error("OpenAPI has no paths")]
    MissingPaths,
    /// A schema can't be compiled.
    #[error("{name}: {source}")]
    Schema {
        /// The message or body that the schema describes.
        name: String,
        /// The fault of the schema.
        source: Box<jsonschema::ValidationError<'static>>,
    },
    /// The two documents are not of one known kind.
    #[error("two AsyncAPI or two OpenAPI documents are compared")]
    DifferentKinds,
}
