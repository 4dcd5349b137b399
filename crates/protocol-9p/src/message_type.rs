//! The numbers of the message types. 103 (Rauth) is left out because authentication is not supported, and 106
//! (Terror) because the manual forbids its use.

pub(crate) const TVERSION: u8 = 100;
pub(crate) const RVERSION: u8 = 101;
pub(crate) const TAUTH: u8 = 102;
pub(crate) const TATTACH: u8 = 104;
pub(crate) const RATTACH: u8 = 105;
pub(crate) const RERROR: u8 = 107;
pub(crate) const TFLUSH: u8 = 108;
pub(crate) const RFLUSH: u8 = 109;
pub(crate) const TWALK: u8 = 110;
pub(crate) const RWALK: u8 = 111;
pub(crate) const TOPEN: u8 = 112;
pub(crate) const ROPEN: u8 = 113;
pub(crate) const TCREATE: u8 = 114;
pub(crate) const RCREATE: u8 = 115;
pub(crate) const TREAD: u8 = 116;
pub(crate) const RREAD: u8 = 117;
pub(crate) const TWRITE: u8 = 118;
pub(crate) const RWRITE: u8 = 119;
pub(crate) const TCLUNK: u8 = 120;
pub(crate) const RCLUNK: u8 = 121;
pub(crate) const TREMOVE: u8 = 122;
pub(crate) const RREMOVE: u8 = 123;
pub(crate) const TSTAT: u8 = 124;
pub(crate) const RSTAT: u8 = 125;
pub(crate) const TWSTAT: u8 = 126;
pub(crate) const RWSTAT: u8 = 127;
