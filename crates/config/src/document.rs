//! The checked form of a configuration.

use model::{Millis, Priority, RegionName, ServiceName, ZoneName, derive_common};

derive_common! {
    data
    /// Everything that operators decide.
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

    /// Returns the region that holds the availability zone.
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
    /// How the key of a request is read. Requests of a service without keys go to any backend
    /// server.
    pub enum KeySource {
        /// The service is not divided by key.
        None,
        /// The value of a request header, whose name is in lower case.
        Header(String),
        /// A segment of the path, counted from 0 behind the service name.
        PathSegment(u32),
        /// The value of a query parameter.
        Query(String),
    }
}

derive_common! {
    value
    /// The methods that rules can name.
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
    /// A path with `*` for any one segment and a closing `**` for any rest.
    pub struct PathPattern(pub String);
}

derive_common! {
    value
    /// Whether a request may be sent again when it may have run already.
    pub enum RetrySafety {
        /// The request is idempotent.
        Idempotent,
        /// The request runs at most once and carries a request id.
        AtMostOnce,
    }
}

derive_common! {
    data
    /// How the requests that it matches are treated. The first rule that matches counts.
    pub struct Rule {
        /// The methods; empty for all.
        pub methods: Vec<Method>,
        /// The path behind the service name.
        pub path: PathPattern,
        /// Whether the requests are idempotent.
        pub retry_safety: RetrySafety,
        /// The class of the requests.
        pub priority: Priority,
        /// How long a request may take in all.
        pub time_limit: Millis,
    }
}

derive_common! {
    data
    /// One service.
    pub struct Service {
        /// The name, which is the first segment of every path.
        pub name: ServiceName,
        /// How keys are read.
        pub key_source: KeySource,
        /// The partition count; it never changes while the service exists.
        pub partitions: u32,
        /// The backend servers that are expected.
        pub backend_servers: u32,
        /// Requests that one backend server runs at a time.
        pub slots: u32,
        /// Connections that one backend server accepts.
        pub connections: u32,
        /// Slots that only interactive requests may use.
        pub reserved_slots: u32,
        /// The longest request body, in bytes.
        pub max_body_bytes: u64,
        /// How long answers are kept for re-sends of the same request id.
        pub record_retention: Millis,
        /// How long a leaving host may take to finish its work.
        pub drain_deadline: Millis,
        /// How long partitions wait after an unplanned loss of a backend server that checks no
        /// fences.
        pub unfenced_grace: Millis,
        /// Retries per 100 first attempts.
        pub retry_percent: u32,
        /// The rules; requests that none matches run at most once, interactive, within 10 s.
        pub rules: Vec<Rule>,
    }
}
