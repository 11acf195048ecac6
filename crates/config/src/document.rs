//! The validated form of a configuration.

use model::{Millis, Priority, RegionName, ServiceName, ZoneName, derive_common};

derive_common! {
    data
    /// The configuration of a deployment, as operators define it.
    #[derive(Default)]
    pub struct Config {
        /// The regions, sorted by name.
        pub regions: Vec<Region>,
        /// The services, sorted by name.
        pub services: Vec<Service>,
    }
}

impl Config {
    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.binary_search_by(|s| s.name.as_str().cmp(name)).ok()?;
        self.services.get(index)
    }

    /// Returns the region that contains the availability zone.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&Region> {
        self.regions.iter().find(|r| r.zones.binary_search(zone).is_ok())
    }
}

derive_common! {
    data
    /// A region with its availability zones.
    pub struct Region {
        /// The name.
        pub name: RegionName,
        /// The availability zones, sorted.
        pub zones: Vec<ZoneName>,
    }
}

derive_common! {
    data
    /// Where the key of a request is read from. Requests of a service without keys go to any
    /// backend server.
    pub enum KeySource {
        /// The service is not partitioned by key.
        None,
        /// The value of a request header, whose name is in lower case.
        Header(String),
        /// A segment of the path, counted from 0 after the service name.
        PathSegment(u32),
        /// The value of a query parameter.
        Query(String),
    }
}

derive_common! {
    value
    /// The HTTP methods that rules can match.
    #[allow(missing_docs)]
    pub enum Method {
        Get,
        Head,
        Post,
        Put,
        Patch,
        Delete,
    }
}

derive_common! {
    data
    /// A path in which `*` matches any one segment and a final `**` matches the rest of the path.
    pub struct PathPattern(pub String);
}

derive_common! {
    value
    /// Whether a request may be retried although an earlier attempt may have run.
    pub enum RetrySafety {
        /// The request is idempotent and may be retried.
        Idempotent,
        /// The request must run at most once and carries a request id.
        AtMostOnce,
    }
}

derive_common! {
    data
    /// How matching requests are handled. The first rule that matches a request applies.
    pub struct Rule {
        /// The methods that the rule matches; empty for all methods.
        pub methods: Vec<Method>,
        /// The path after the service name.
        pub path: PathPattern,
        /// Whether the requests are idempotent.
        pub retry_safety: RetrySafety,
        /// The priority class of the requests.
        pub priority: Priority,
        /// The total time that a request may take, including retries.
        pub time_limit: Millis,
    }
}

derive_common! {
    data
    /// One service.
    pub struct Service {
        /// The name, which is the first segment of every path.
        pub name: ServiceName,
        /// Where the key of a request is read from.
        pub key_source: KeySource,
        /// The number of partitions, which never changes while the service exists.
        pub partitions: u32,
        /// The expected number of backend servers.
        pub backend_servers: u32,
        /// The maximum number of requests that one backend server runs concurrently.
        pub slots: u32,
        /// The maximum number of connections that one backend server accepts.
        pub connections: u32,
        /// The number of slots that are reserved for interactive requests.
        pub reserved_slots: u32,
        /// The maximum size of a request body, in bytes.
        pub max_body_bytes: u64,
        /// How long responses are kept to answer retries with the same request id.
        pub record_retention: Millis,
        /// How long a draining host may take to finish its requests.
        pub drain_deadline: Millis,
        /// How long partitions wait for a new owner after the unplanned loss of a backend
        /// server that does not check fencing tokens.
        pub unfenced_grace: Millis,
        /// The retry budget, in retries per 100 first attempts.
        pub retry_percent: u32,
        /// The rules. A request that no rule matches runs at most once, with interactive priority
        /// and a time limit of 10 s.
        pub rules: Vec<Rule>,
    }
}
