//! Converts the causes of failures that `engine` reports into those of the router.

use route::failure::Cause;

/// Converts the cause of a failed attempt on a chain of stages.
pub fn from_chain(cause: engine::chain::Cause) -> Cause {
    use engine::chain::Cause as Source;
    match cause {
        Source::Connect => Cause::Connect,
        Source::Busy => Cause::Busy,
        Source::Leaving => Cause::Leaving,
        Source::Unfit => Cause::Unfit,
        Source::Invalid => Cause::Invalid,
        Source::Reset => Cause::Reset,
        Source::Protocol => Cause::Protocol,
        Source::Internal => Cause::Internal,
    }
}

/// Converts the cause of a failed call of a plain HTTP service.
pub fn from_service(cause: engine::service::Cause) -> Cause {
    use engine::service::Cause as Source;
    match cause {
        Source::Connect => Cause::Connect,
        Source::Reset => Cause::Reset,
        Source::Silent => Cause::Silent,
        Source::Protocol => Cause::Protocol,
        Source::Invalid => Cause::Invalid,
    }
}
