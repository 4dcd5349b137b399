//! Files of results.

use super::errors::fault_of;
use sedgerun_config::Faults;
use serde_json::Value;

/// Writes results to a file, if there is one to write.
pub fn save(path: Option<&str>, results: &Value) -> Result<(), Faults> {
    let Some(path) = path else { return Ok(()) };
    std::fs::write(path, format!("{results:#}\n")).map_err(|error| fault_of(format!("{path}: {error}")))
}

/// Reads a file of one result or of a list of them.
pub fn read_results(path: &str) -> Result<Vec<Value>, Faults> {
    let failed = |error: &dyn ToString| fault_of(format!("{path}: {}", error.to_string()));
    let text = std::fs::read_to_string(path).map_err(|error| failed(&error))?;
    match serde_json::from_str(&text).map_err(|error| failed(&error))? {
        Value::Array(all) => Ok(all),
        one => Ok(vec![one]),
    }
}
