//! A stand-in for a plain service.
