//! Causes of failures, from the driver's words to the router's.

use route::failure::Cause;

/// The cause of a failed attempt on a pipeline.
pub fn chain(cause: engine::chain::Cause) -> Cause {
    use engine::chain::Cause as From;
    match cause {
        From::Connect => Cause::Connect,
        From::Busy => Cause::Busy,
        From::Leaving => Cause::Leaving,
        From::Unfit => Cause::Unfit,
        From::Reset => Cause::Reset,
        From::Protocol => Cause::Protocol,
        From::Internal => Cause::Internal,
    }
}

/// The cause of a failed call of a plain service.
pub fn service(cause: engine::service::Cause) -> Cause {
    use engine::service::Cause as From;
    match cause {
        From::Connect => Cause::Connect,
        From::Reset => Cause::Reset,
        From::Silent => Cause::Silent,
        From::Protocol => Cause::Protocol,
    }
}
