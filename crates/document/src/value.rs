//! Parsed YAML values with their line numbers.

use serde::de::{
    Deserialize,
    Deserializer,
    MapAccess,
    SeqAccess,
    Visitor, //
};
use serde_saphyr::Spanned;

/// A YAML value and its line number, counted from 1.
#[derive(Clone, Debug)]
pub(crate) struct LocatedValue {
    pub(crate) value: YamlValue,
    pub(crate) line: u64,
}

impl From<Spanned<YamlValue>> for LocatedValue {
    fn from(spanned: Spanned<YamlValue>) -> Self {
        Self {
            line: spanned.referenced.line(),
            value: spanned.value,
        }
    }
}

/// A YAML value of any type.
#[derive(Clone, Debug)]
pub(crate) enum YamlValue {
    Null,
    Boolean(bool),
    Number(f64),
    Text(String),
    List(Vec<LocatedValue>),
    Map(Vec<(String, LocatedValue)>),
}

impl YamlValue {
    /// Returns the name of the value's type as findings print it.
    pub(crate) fn type_name(&self) -> &'static str {
        match self {
            YamlValue::Null => "nothing",
            YamlValue::Boolean(_) => "true or false",
            YamlValue::Number(_) => "a number",
            YamlValue::Text(_) => "text",
            YamlValue::List(_) => "a list",
            YamlValue::Map(_) => "a mapping",
        }
    }
}

impl<'de> Deserialize<'de> for YamlValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(YamlVisitor)
    }
}

struct YamlVisitor;

impl<'de> Visitor<'de> for YamlVisitor {
    type Value = YamlValue;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<YamlValue, E> {
        Ok(YamlValue::Null)
    }

    fn visit_none<E>(self) -> Result<YamlValue, E> {
        Ok(YamlValue::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<YamlValue, E> {
        Ok(YamlValue::Boolean(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<YamlValue, E> {
        Ok(YamlValue::Number(value as f64))
    }

    fn visit_u64<E>(self, value: u64) -> Result<YamlValue, E> {
        Ok(YamlValue::Number(value as f64))
    }

    fn visit_f64<E>(self, value: f64) -> Result<YamlValue, E> {
        Ok(YamlValue::Number(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<YamlValue, E> {
        Ok(YamlValue::Text(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<YamlValue, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = access.next_element::<Spanned<YamlValue>>()? {
            list.push(LocatedValue::from(item));
        }
        Ok(YamlValue::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<YamlValue, A::Error> {
        let mut map = Vec::new();
        while let Some(key) = access.next_key::<String>()? {
            let value = LocatedValue::from(access.next_value::<Spanned<YamlValue>>()?);
            map.push((key, value));
        }
        Ok(YamlValue::Map(map))
    }
}
