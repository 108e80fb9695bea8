package lift

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylcmd/factory"
)

// requestTimeout bounds the request. The host answers before the store has deleted the verdict.
const requestTimeout = 3 * time.Second

// Options holds the command's flags and its dependencies.
type Options struct {
	// Key is the key of the verdict.
	Key string `arg:"" help:"Key of the quarantined prompt parts."`
	// Address is the address on which the host serves operators.
	Address string `arg:"" optional:"" help:"Address and port on which an entry host serves operators." default:"127.0.0.1:9464"`

	// IO holds the standard streams, Context bounds the request, and HTTP is the client that sends it.
	IO      factory.IOStreams `kong:"-"`
	Context context.Context   `kong:"-"`
	HTTP    *http.Client      `kong:"-"`
}

// Help returns the detailed help text of the command.
func (o *Options) Help() string {
	return `Lifts the quarantine of prompt parts at the whole fleet. Requests with these parts are sent to upstreams again. If
the parts still crash upstreams, they are quarantined anew after three more crashes.

Examples:
  berylroad entry status 10.1.0.10:9464        # shows the keys
  berylroad entry lift b136d718ef79eb57 10.1.0.10:9464`
}

// Run sets the command's dependencies from the factory and runs the command.
func (o *Options) Run(f *factory.Factory) error {
	o.IO, o.Context, o.HTTP = f.IO, f.Context, &http.Client{Timeout: requestTimeout}
	return runLift(o)
}

func runLift(o *Options) error {
	if _, _, err := net.SplitHostPort(o.Address); err != nil {
		return &factory.FlagError{Err: errors.WithHint(err, "give an address such as 10.1.0.10:9464")}
	}
	request, err := http.NewRequestWithContext(o.Context, http.MethodDelete, "http://"+o.Address+"/quarantine/"+url.PathEscape(o.Key), nil)
	if err != nil {
		return err
	}
	response, err := o.HTTP.Do(request)
	if err != nil {
		return errors.WithHint(err, "check that the host runs and that this is the address of its operators' port, normally 9464")
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusNoContent:
		fmt.Fprintf(o.IO.Out, "lifted %s\n", o.Key)
		return nil
	case http.StatusNotFound:
		return errors.WithHint(errors.Newf("%s knows no quarantined prompt parts with the key %s", o.Address, o.Key), "see the keys with `berylroad entry status`")
	default:
		return errors.Newf("%s answers with status %d", o.Address, response.StatusCode)
	}
}
