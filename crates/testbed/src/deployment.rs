//! The two reference deployments, scaled down to run on one machine.

/// A zone and its region.
#[derive(Clone, Copy, Debug)]
pub struct Zone {
    /// Name of the availability zone.
    pub name: &'static str,
    /// Region that contains the zone.
    pub region: &'static str,
}

/// Zones, services and sizes of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name of the folder under `deploy/` and of the mesh.
    pub name: &'static str,
    /// Availability zones; each has one target of each service.
    pub zones: [Zone; 4],
    /// Names of the services.
    pub services: [&'static str; 4],
    /// Region of the platform's log.
    pub log_region: &'static str,
    /// Slots of a target.
    pub slot_count: u32,
    /// Connections from callers to each service.
    pub connection_count: usize,
}

/// Al Ramla Sieve Franchise Office.
pub const AL_RAMLA: Deployment = Deployment {
    name: "al-ramla",
    zones: [
        Zone {
            name: "muscat-a",
            region: "muscat",
        },
        Zone {
            name: "muscat-b",
            region: "muscat",
        },
        Zone {
            name: "sohar-a",
            region: "sohar",
        },
        Zone {
            name: "sohar-b",
            region: "sohar",
        },
    ],
    services: ["stockdesk", "orderbook", "certlib", "certmint"],
    log_region: "muscat",
    slot_count: 17,
    connection_count: 120,
};

/// Verband Schweizer Kinderwagen-Reparaturstände.
pub const VERBAND: Deployment = Deployment {
    name: "verband",
    zones: [
        Zone {
            name: "lausanne",
            region: "westschweiz",
        },
        Zone {
            name: "geneve",
            region: "westschweiz",
        },
        Zone {
            name: "zuerich",
            region: "nordschweiz",
        },
        Zone {
            name: "basel",
            region: "nordschweiz",
        },
    ],
    services: ["katalog", "werkbuch", "archiv", "abholung"],
    log_region: "westschweiz",
    slot_count: 12,
    connection_count: 110,
};
