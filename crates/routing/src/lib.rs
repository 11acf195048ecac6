//! Pure decisions about requests: rules, retries, request records and routes.
