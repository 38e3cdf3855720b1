use control::Member;
use platform::{Client, Table};

use crate::Failure;

/// The options for the addresses of the platform, each with its environment variable.
const OPTIONS: [(&str, &str); 3] = [
    ("--table", "BORAGEREEL_TABLE"),
    ("--objects", "BORAGEREEL_OBJECTS"),
    ("--hosts", "BORAGEREEL_HOSTS"),
];

/// Creates the platform client from options or environment variables.
pub(crate) fn open(arguments: &mut pico_args::Arguments) -> Result<Client, Failure> {
    let [table, objects, hosts] = addresses(arguments)?;
    let missing = |index: usize| {
        let (option, variable) = OPTIONS[index];
        Failure::Invalid(format!(
            "the platform's address is missing: use {option} or {variable}, for example {option} \
             http://10.0.0.1:80"
        ))
    };
    Ok(Client::new(
        &table.ok_or_else(|| missing(0))?,
        &objects.ok_or_else(|| missing(1))?,
        &hosts.ok_or_else(|| missing(2))?,
    )?)
}

/// Like [`open`], but returns `None` unless all addresses are given.
pub(crate) fn open_if_given(
    arguments: &mut pico_args::Arguments,
) -> Result<Option<Client>, Failure> {
    match addresses(arguments)? {
        [Some(table), Some(objects), Some(hosts)] => {
            Ok(Some(Client::new(&table, &objects, &hosts)?))
        }
        _ => Ok(None),
    }
}

fn addresses(arguments: &mut pico_args::Arguments) -> Result<[Option<String>; 3], Failure> {
    let mut addresses = [None, None, None];
    for (address, (option, variable)) in addresses.iter_mut().zip(OPTIONS) {
        *address = match arguments.opt_value_from_str(option)? {
            Some(address) => Some(address),
            None => std::env::var(variable).ok(),
        };
        if let Some(text) = address
            && !text.starts_with("http://")
            && !text.starts_with("https://")
        {
            return Err(Failure::Invalid(format!(
                "{option} {text:?} is not accepted; accepted is a URL like http://10.0.0.1:80"
            )));
        }
    }
    Ok(addresses)
}

/// Reads the member records of all processes from the platform's table store.
pub(crate) async fn members(platform: &Client) -> Result<Vec<Member>, Failure> {
    let rows = platform.scan("member/").await?;
    rows.into_iter()
        .map(|row| {
            serde_json::from_value(row.value)
                .map_err(|error| Failure::Failed(format!("row {}: {error}", row.key)))
        })
        .collect()
}
