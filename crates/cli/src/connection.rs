use platform::Client;

use crate::Failure;

/// Makes the client of the platform from options or environment variables.
pub(crate) fn open(arguments: &mut pico_args::Arguments) -> Result<Client, Failure> {
    let table = address(arguments, "--table", "BORAGEREEL_TABLE")?;
    let objects = address(arguments, "--objects", "BORAGEREEL_OBJECTS")?;
    let hosts = address(arguments, "--hosts", "BORAGEREEL_HOSTS")?;
    Ok(Client::new(&table, &objects, &hosts)?)
}

fn address(
    arguments: &mut pico_args::Arguments,
    option: &'static str,
    variable: &str,
) -> Result<String, Failure> {
    if let Some(address) = arguments.opt_value_from_str(option)? {
        return Ok(address);
    }
    std::env::var(variable).map_err(|_error| {
        Failure::Wrong(format!(
            "the platform's address is missing: use {option} or {variable}"
        ))
    })
}
