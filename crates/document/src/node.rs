//! Tree of a parsed document with the line of each value.

use serde::de::{
    Deserialize,
    Deserializer,
    MapAccess,
    SeqAccess,
    Visitor, //
};
use serde_saphyr::Spanned;

/// A value and its line, from 1.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) node: Node,
    pub(crate) line: u64,
}

impl From<Spanned<Node>> for Entry {
    fn from(spanned: Spanned<Node>) -> Self {
        Self {
            line: spanned.referenced.line(),
            node: spanned.value,
        }
    }
}

/// A value of any kind.
#[derive(Clone, Debug)]
pub(crate) enum Node {
    Null,
    Flag(bool),
    Number(f64),
    Text(String),
    List(Vec<Entry>),
    Map(Vec<(String, Entry)>),
}

impl Node {
    /// Names the kind of value as findings do.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Node::Null => "nothing",
            Node::Flag(_) => "true or false",
            Node::Number(_) => "a number",
            Node::Text(_) => "text",
            Node::List(_) => "a list",
            Node::Map(_) => "a mapping",
        }
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Flag(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(Node::Number(value as f64))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Number(value as f64))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Node, E> {
        Ok(Node::Number(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Text(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut list = Vec::new();
        while let Some(entry) = access.next_element::<Spanned<Node>>()? {
            list.push(Entry::from(entry));
        }
        Ok(Node::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut map = Vec::new();
        while let Some(key) = access.next_key::<String>()? {
            let entry = Entry::from(access.next_value::<Spanned<Node>>()?);
            map.push((key, entry));
        }
        Ok(Node::Map(map))
    }
}
