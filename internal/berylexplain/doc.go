// Package berylexplain gathers what the logs of several hosts say of one request, job or item, with what each host
// believed at that time.
package berylexplain
