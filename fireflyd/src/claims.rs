//! Claims of idempotency keys, stored as platform objects.

use std::net::SocketAddr;

use fireflycroft::{
    ClaimAnswer, ClaimOp, ClaimRecord, Digest, Name, RequestId, parse_generation_id,
    parse_request_id,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::platform::{Condition, PlatformClient, PlatformError};

/// Kind of the platform objects that hold claims.
pub const CLAIM_KIND: &str = "claim";

#[derive(Serialize, Deserialize)]
struct StoredClaim {
    request: String,
    generation: String,
    agent: Name,
    addr: SocketAddr,
    content: String,
}

/// Executes a claim operation on the platform and returns its result.
pub async fn execute(platform: &PlatformClient, key: Digest, op: ClaimOp) -> ClaimAnswer {
    let name = key.to_string();
    match op {
        ClaimOp::Create(record) => write(platform, &name, &record, Condition::Absent).await,
        ClaimOp::Replace(version, record) => {
            write(platform, &name, &record, Condition::Version(version)).await
        }
        ClaimOp::Read => read(platform, &name).await,
    }
}

async fn write(
    platform: &PlatformClient,
    name: &str,
    record: &ClaimRecord,
    condition: Condition,
) -> ClaimAnswer {
    let value = to_value(record);
    match platform.put(CLAIM_KIND, name, &value, condition).await {
        Ok(_) => ClaimAnswer::Written,
        Err(e) => answer_for_error(&e),
    }
}

async fn read(platform: &PlatformClient, name: &str) -> ClaimAnswer {
    match platform.get(CLAIM_KIND, name).await {
        Ok(object) => match from_value(object.value) {
            Some(record) => ClaimAnswer::Found(record, object.version),
            None => ClaimAnswer::Unavailable,
        },
        Err(PlatformError::NotFound) => ClaimAnswer::Absent,
        Err(e) => answer_for_error(&e),
    }
}

fn answer_for_error(e: &PlatformError) -> ClaimAnswer {
    match e {
        PlatformError::Conflict { .. } => ClaimAnswer::Conflict,
        PlatformError::OutcomeUnknown => ClaimAnswer::Lost,
        PlatformError::NotFound | PlatformError::Unavailable { .. } | PlatformError::Invalid(_) => {
            ClaimAnswer::Unavailable
        }
    }
}

fn to_value(record: &ClaimRecord) -> Value {
    let stored = StoredClaim {
        request: record.request.to_string(),
        generation: record.generation.to_string(),
        agent: record.agent.clone(),
        addr: record.addr,
        content: record.content.to_string(),
    };
    serde_json::to_value(stored).unwrap_or_default()
}

fn from_value(value: Value) -> Option<ClaimRecord> {
    let stored: StoredClaim = serde_json::from_value(value).ok()?;
    Some(ClaimRecord {
        request: parse_request_id(&stored.request)?,
        generation: parse_generation_id(&stored.generation)?,
        agent: stored.agent,
        addr: stored.addr,
        content: parse_request_id(&stored.content).map(|RequestId(bits)| Digest(bits))?,
    })
}
