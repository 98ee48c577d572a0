//! The sample bundle.

use bergamot_bundle::document::RouteSpec;
use bergamot_bundle::{AccountSpec, BundleDigest, BundleDocument, ModelSpec, ServiceSpec};
use bergamot_types::{ClientAccount, ModelName, ServiceName};

/// The sample model.
pub const MODEL: &str = "lot-writer";
/// The sample service.
pub const SERVICE: &str = "ring";

/// The sample accounts: name, token, priority.
pub const ACCOUNTS: [(&str, &str, u8); 3] = [
    ("rostrum", "token-rostrum", 0),
    ("bidders", "token-bidders", 3),
    ("reports", "token-reports", 8),
];

/// A bundle with one model and one service.
pub fn document(version: &str, replicas: u32, vms_per_replica: u32) -> BundleDocument {
    let accounts = ACCOUNTS
        .iter()
        .map(|(name, token, priority)| AccountSpec {
            name: ClientAccount::new(name),
            token_sha256: BundleDigest::of(token.as_bytes()).to_string(),
            requests_per_second: 2_000.0,
            concurrency: 2_000,
            priority: *priority,
        })
        .collect();
    BundleDocument {
        version: version.to_owned(),
        accounts,
        models: vec![ModelSpec {
            name: ModelName::new(MODEL),
            version: version.to_owned(),
            adapter: None,
            vms_per_replica,
            replicas,
            priority: 2,
            accounts: Vec::new(),
        }],
        services: vec![ServiceSpec {
            name: ServiceName::new(SERVICE),
            routes: vec![RouteSpec {
                method: "POST".to_owned(),
                path_prefix: "/confirm".to_owned(),
                idempotent: false,
            }],
            accounts: Vec::new(),
        }],
        revoked_signers: Vec::new(),
    }
}
