//! Streaming JSON values of which only one type is of interest: a value of any other type reads as missing, and
//! is skipped without being kept.

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::fmt;

/// What a reader makes of a value. Each method answers for one JSON type, and reads as missing unless overridden.
pub trait Shape<'de>: Sized {
    /// What the value is read as; its default stands for a value of another type.
    type Value: Default;

    /// A string.
    fn text(self, _text: &str) -> Self::Value {
        Self::Value::default()
    }

    /// A whole number that is not negative.
    fn number(self, _number: u64) -> Self::Value {
        Self::Value::default()
    }

    /// `true` or `false`.
    fn flag(self, _flag: bool) -> Self::Value {
        Self::Value::default()
    }

    /// An array.
    fn array<A: SeqAccess<'de>>(self, mut array: A) -> Result<Self::Value, A::Error> {
        while array.next_element::<IgnoredAny>()?.is_some() {}
        Ok(Self::Value::default())
    }

    /// An object.
    fn object<A: MapAccess<'de>>(self, mut object: A) -> Result<Self::Value, A::Error> {
        while object.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(Self::Value::default())
    }
}

/// Reads a value of any type by its [`Shape`]; errors are those of the JSON's syntax alone.
#[derive(Clone, Copy, Debug)]
pub struct Lenient<S>(pub S);

impl<'de, S: Shape<'de>> DeserializeSeed<'de> for Lenient<S> {
    type Value = S::Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<S::Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de, S: Shape<'de>> Visitor<'de> for Lenient<S> {
    type Value = S::Value;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<S::Value, E> {
        Ok(self.0.text(text))
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<S::Value, E> {
        Ok(self.0.number(number))
    }

    fn visit_bool<E: Error>(self, flag: bool) -> Result<S::Value, E> {
        Ok(self.0.flag(flag))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, array: A) -> Result<S::Value, A::Error> {
        self.0.array(array)
    }

    fn visit_map<A: MapAccess<'de>>(self, object: A) -> Result<S::Value, A::Error> {
        self.0.object(object)
    }

    fn visit_i64<E: Error>(self, _negative: i64) -> Result<S::Value, E> {
        Ok(S::Value::default())
    }

    fn visit_f64<E: Error>(self, _fraction: f64) -> Result<S::Value, E> {
        Ok(S::Value::default())
    }

    fn visit_unit<E: Error>(self) -> Result<S::Value, E> {
        Ok(S::Value::default())
    }
}

/// A string that a function accepts.
#[derive(Clone, Copy, Debug)]
pub struct Text<F>(pub F);

impl<'de, T, F: FnOnce(&str) -> Option<T>> Shape<'de> for Text<F> {
    type Value = Option<T>;

    fn text(self, text: &str) -> Option<T> {
        (self.0)(text)
    }
}

/// A whole number that is not negative.
#[derive(Clone, Copy, Debug)]
pub struct Number;

impl<'de> Shape<'de> for Number {
    type Value = Option<u64>;

    fn number(self, number: u64) -> Option<u64> {
        Some(number)
    }
}

/// `true` or `false`.
#[derive(Clone, Copy, Debug)]
pub struct Flag;

impl<'de> Shape<'de> for Flag {
    type Value = Option<bool>;

    fn flag(self, flag: bool) -> Option<bool> {
        Some(flag)
    }
}
