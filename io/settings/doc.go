// Package settings reads and checks the settings file of a daemon.
//
// The file is TOML. All problems are reported together, each with its line, in one
// error with code [result.SettingsInvalid], so that an operator can correct the
// file in one pass. An unknown key is an error, since a setting that is silently
// ignored is worse than a daemon that doesn't start.
package settings
