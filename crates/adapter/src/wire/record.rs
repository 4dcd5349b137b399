//! Decodes the records of a batch, with one function for each type of record. Fields that the decision module
//! does not use are read and dropped.

use super::error::WireError;
use super::field_reader::FieldReader;
use sedgerun_config::read_settings;
use sedgerun_policy::{
    AttemptEnd, AttemptOutcome, Endpoint, Event, Readiness, Request, Settings, UpdateScope,
};

/// A decoded record.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The instance starts.
    Start {
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// The instance is killed.
    Stop,
    /// An event for the instance.
    Event(Event),
    /// A record that the decision module does not use.
    Ignored,
}

/// The types of incoming records. The comments give their names in the wire protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordCode {
    /// `new_instance`
    Start,
    /// `targets`
    EndpointList,
    /// `demand`
    Request,
    /// `headers`
    ResponseStarted,
    /// `response`
    AttemptEnded,
    /// `lapsed`
    RequestEnded,
    /// `reminder`
    Timer,
    /// `pong`
    HealthCheckEnded,
    /// `peer_data`
    PeerData,
    /// `crash_now`
    Stop,
}

impl TryFrom<u8> for RecordCode {
    type Error = WireError;

    fn try_from(code: u8) -> Result<RecordCode, WireError> {
        Ok(match code {
            16 => RecordCode::Start,
            17 => RecordCode::EndpointList,
            18 => RecordCode::Request,
            19 => RecordCode::ResponseStarted,
            20 => RecordCode::AttemptEnded,
            21 => RecordCode::RequestEnded,
            22 => RecordCode::Timer,
            23 => RecordCode::HealthCheckEnded,
            24 => RecordCode::PeerData,
            25 => RecordCode::Stop,
            other => return Err(WireError::UnknownRecordCode(other)),
        })
    }
}

impl RecordCode {
    /// The name of the record type in the wire protocol.
    pub(super) fn name(self) -> &'static str {
        match self {
            RecordCode::Start => "new_instance",
            RecordCode::EndpointList => "targets",
            RecordCode::Request => "demand",
            RecordCode::ResponseStarted => "headers",
            RecordCode::AttemptEnded => "response",
            RecordCode::RequestEnded => "lapsed",
            RecordCode::Timer => "reminder",
            RecordCode::HealthCheckEnded => "pong",
            RecordCode::PeerData => "peer_data",
            RecordCode::Stop => "crash_now",
        }
    }
}

/// Decodes the fields of a record, which follow its code and its instance.
pub(super) fn read_record(code: RecordCode, fields: &mut FieldReader<'_>) -> Result<Record, WireError> {
    let event = match code {
        RecordCode::Start => return read_start(fields),
        RecordCode::Stop => return Ok(Record::Stop),
        RecordCode::PeerData => return skip_peer_data(fields),
        RecordCode::EndpointList => read_endpoint_list(fields)?,
        RecordCode::Request => Event::Request(read_request(fields)?),
        RecordCode::ResponseStarted => read_response_started(fields)?,
        RecordCode::AttemptEnded => Event::AttemptEnded(read_attempt_outcome(fields)?),
        RecordCode::RequestEnded => Event::RequestEnded { id: fields.u32()? },
        RecordCode::Timer => Event::Timer { token: fields.u64()? },
        RecordCode::HealthCheckEnded => read_health_check(fields)?,
    };
    Ok(Record::Event(event))
}

fn read_start(fields: &mut FieldReader<'_>) -> Result<Record, WireError> {
    let seed = fields.u64()?;
    let length = fields.u32()? as usize;
    let settings = parse_settings(fields.bytes(length)?)?;
    Ok(Record::Start { seed, settings: Box::new(settings) })
}

fn parse_settings(text: &[u8]) -> Result<Settings, WireError> {
    let text = std::str::from_utf8(text).map_err(WireError::SettingsNotUtf8)?;
    read_settings(text).map_err(WireError::InvalidSettings)
}

fn skip_peer_data(fields: &mut FieldReader<'_>) -> Result<Record, WireError> {
    let _unused = fields.u32()?;
    let length = usize::from(fields.u16()?);
    fields.bytes(length)?;
    Ok(Record::Ignored)
}

fn read_endpoint_list(fields: &mut FieldReader<'_>) -> Result<Event, WireError> {
    let scope = match fields.u8()? {
        0 => UpdateScope::Cached,
        1 => UpdateScope::Full,
        2 => UpdateScope::Failed,
        3 => UpdateScope::Delta,
        other => return Err(WireError::UnknownListScope(other)),
    };
    let _version = fields.u64()?;
    let count = fields.u32()?;
    let mut endpoints = Vec::new();
    for _ in 0..count {
        endpoints.push(read_endpoint(fields)?);
    }
    Ok(Event::EndpointList { scope, endpoints })
}

fn read_endpoint(fields: &mut FieldReader<'_>) -> Result<Endpoint, WireError> {
    let backend = fields.backend_id()?;
    let _unused = fields.u16()?;
    let shard = u32::from(fields.u16()?);
    let started_at = fields.u64()?;
    let zone = fields.u16()?;
    let _unused = fields.f32()?;
    let readiness = match fields.u8()? {
        0 => Readiness::Removed,
        1 => Readiness::Ready,
        2 => Readiness::Draining,
        other => return Err(WireError::UnknownReadiness(other)),
    };
    Ok(Endpoint { backend, shard, zone, started_at, readiness })
}

fn read_request(fields: &mut FieldReader<'_>) -> Result<Request, WireError> {
    let id = fields.u32()?;
    let class = usize::from(fields.u16()?);
    let plan = usize::from(fields.u16()?);
    let key = fields.u64()?;
    let deadline = fields.u64()?;
    let volume = fields.u64()?;
    let units = fields.f32()?;
    let placement = fields.f32()?;
    let volume_heads = fields.f32()?;
    let _unused = fields.u8()?;
    // A negative placement marks a new object, which any shard may hold.
    let shard = (placement >= 0.0).then_some(placement as u32);
    Ok(Request { id, class, plan, key, deadline, volume, units, shard, volume_heads })
}

fn read_response_started(fields: &mut FieldReader<'_>) -> Result<Event, WireError> {
    let id = fields.u32()?;
    let attempt = fields.u8()?;
    let _backend = fields.backend_id()?;
    let _unused = fields.u32()?;
    Ok(Event::ResponseStarted { id, attempt })
}

fn read_attempt_outcome(fields: &mut FieldReader<'_>) -> Result<AttemptOutcome, WireError> {
    let id = fields.u32()?;
    let attempt = fields.u8()?;
    let backend = fields.backend_id()?;
    let end = read_attempt_end(fields)?;
    let latency = u64::from(fields.u32()?);
    let request_ended = fields.u8()? != 0;
    let volume_usage = volume_usage(fields.u16()?);
    let units_via_other_heads = f64::from(fields.u16()?);
    fields.skip_gauge()?;
    Ok(AttemptOutcome {
        id,
        attempt,
        backend,
        end,
        latency,
        request_ended,
        volume_usage,
        units_via_other_heads,
    })
}

/// Decodes a volume's usage, as a multiple of its plan's rate. The wire format is hundredths plus one; 0: not
/// reported.
fn volume_usage(hundredths_plus_one: u16) -> Option<f64> {
    hundredths_plus_one.checked_sub(1).map(|hundredths| f64::from(hundredths) / 100.0)
}

fn read_health_check(fields: &mut FieldReader<'_>) -> Result<Event, WireError> {
    let _unused = fields.u32()?;
    let backend = fields.backend_id()?;
    let healthy = read_attempt_end(fields)? == AttemptEnd::Ok;
    fields.skip_gauge()?;
    Ok(Event::HealthCheckEnded { backend, healthy })
}

fn read_attempt_end(fields: &mut FieldReader<'_>) -> Result<AttemptEnd, WireError> {
    Ok(match fields.u8()? {
        0 => AttemptEnd::Error,
        1 => AttemptEnd::Ok,
        2 => AttemptEnd::Rejected,
        3 => AttemptEnd::Timeout,
        4 => AttemptEnd::ConnectFailed,
        5 => AttemptEnd::Reset,
        6 => AttemptEnd::Cancelled,
        7 => AttemptEnd::CancelledUnsent,
        other => return Err(WireError::UnknownOutcome(other)),
    })
}
