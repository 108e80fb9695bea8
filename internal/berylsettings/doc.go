// Package berylsettings defines the settings of one process. Flags take precedence over the environment, which takes precedence
// over the settings file.
package berylsettings
