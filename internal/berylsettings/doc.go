// Package berylsettings holds the settings of one process: flags go before the environment, which goes before the settings file.
package berylsettings
