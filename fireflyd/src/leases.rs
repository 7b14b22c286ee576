//! The fleet's lease, stored as an object of the platform.

use fireflycroft::{LeaseAnswer, LeaseOp, LeaseRecord, Name, RequestId, parse_request_id};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::platform::{Condition, PlatformClient, PlatformError};

/// Kind of lease objects.
pub const LEASE_KIND: &str = "lease";
/// Name of the lease for model placement.
pub const PLACER: &str = "placer";

#[derive(Serialize, Deserialize)]
struct StoredLease {
    holder: Name,
    token: String,
    fence: u64,
    renewal: u64,
}

/// Executes a lease operation on the platform and returns its result.
pub async fn execute(platform: &PlatformClient, op: LeaseOp) -> LeaseAnswer {
    match op {
        LeaseOp::Read => read(platform).await,
        LeaseOp::Create(record) => write(platform, &record, Condition::Absent).await,
        LeaseOp::Replace(version, record) => {
            write(platform, &record, Condition::Version(version)).await
        }
    }
}

async fn read(platform: &PlatformClient) -> LeaseAnswer {
    match platform.get(LEASE_KIND, PLACER).await {
        Ok(object) => match from_value(object.value) {
            Some(record) => LeaseAnswer::Found(record, object.version),
            None => LeaseAnswer::Unavailable,
        },
        Err(PlatformError::NotFound) => LeaseAnswer::Absent,
        Err(_) => LeaseAnswer::Unavailable,
    }
}

async fn write(
    platform: &PlatformClient,
    record: &LeaseRecord,
    condition: Condition,
) -> LeaseAnswer {
    match platform
        .put(LEASE_KIND, PLACER, &to_value(record), condition)
        .await
    {
        Ok(version) => LeaseAnswer::Written(version),
        Err(PlatformError::Conflict { .. }) => LeaseAnswer::Conflict,
        Err(PlatformError::OutcomeUnknown) => LeaseAnswer::Lost,
        Err(_) => LeaseAnswer::Unavailable,
    }
}

fn to_value(record: &LeaseRecord) -> Value {
    let stored = StoredLease {
        holder: record.holder.clone(),
        token: record.token.to_string(),
        fence: record.fence,
        renewal: record.renewal,
    };
    serde_json::to_value(stored).unwrap_or_default()
}

fn from_value(value: Value) -> Option<LeaseRecord> {
    let stored: StoredLease = serde_json::from_value(value).ok()?;
    let token: RequestId = parse_request_id(&stored.token)?;
    Some(LeaseRecord {
        holder: stored.holder,
        token,
        fence: stored.fence,
        renewal: stored.renewal,
    })
}
