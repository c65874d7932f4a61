// Package settings reads and checks the settings file of a daemon.
//
// The file is TOML. Every problem is reported at once, with its line and
// [result.SettingsInvalid], so that an operator mends a file in one go: a
// misspelt key is an error, since a setting that is silently ignored is worse
// than a daemon that does not start.
package settings
