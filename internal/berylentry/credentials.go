package berylentry

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylkey"
	"berylroad.example/berylroad/internal/berylstore"
)

// fleetKey is the store key of the fleet's certificate authority.
const fleetKey = "berylroad/fleet-key"

// loadCredentials creates this host's certificate. The fleet's certificate authority is kept in the store, where the
// first host creates it. The platform already trusts everyone who can read the store.
func loadCredentials(ctx context.Context, store berylstore.Store, settings Settings, log logrus.FieldLogger) (*berylkey.Credentials, error) {
	host, _, err := net.SplitHostPort(settings.PeerAddress)
	if err != nil {
		return nil, errors.WithHint(errors.Wrap(err, "peer address"), "check the settings file")
	}
	authority, err := retry(ctx, log, "credentials: the fleet's key can't be read from the store, trying again", func() (berylkey.KeyPair, error) {
		return fleetAuthority(ctx, store)
	})
	if err != nil {
		return nil, err
	}
	pair, err := authority.CreateHost(time.Now(), settings.Host, net.ParseIP(host))
	if err != nil {
		return nil, err
	}
	credentials, err := berylkey.New(time.Now(), authority.Cert, pair)
	if err != nil {
		return nil, err
	}
	credentials.DeriveResetKey(authority.Key)
	return credentials, nil
}

// retry calls operation until it succeeds or ctx ends, and logs message with each failure.
func retry[T any](ctx context.Context, log logrus.FieldLogger, message string, operation func() (T, error)) (T, error) {
	for {
		value, err := operation()
		if err == nil {
			return value, nil
		}
		log.WithError(err).Warn(message)
		timer := time.NewTimer(retryDelay())
		select {
		case <-ctx.Done():
			timer.Stop()
			return value, ctx.Err()
		case <-timer.C:
		}
	}
}

// nextBoot returns the boot number of this run of a host. It grows from run to run, even if the clock was set back
// between two runs.
func nextBoot(ctx context.Context, store berylstore.Store, host string, log logrus.FieldLogger) (uint64, error) {
	return retry(ctx, log, "host list: the last run of this host can't be read from the store, trying again", func() (uint64, error) {
		callCtx, cancel := context.WithTimeout(ctx, registryTimeout)
		defer cancel()
		item, found, err := store.Get(callCtx, hostPrefix+host)
		if err != nil {
			return 0, err
		}
		boot := uint64(time.Now().UnixNano())
		var last hostRecord
		if found && cbor.Unmarshal(item.Value, &last) == nil {
			boot = max(boot, last.Member.Boot+1)
		}
		return boot, nil
	})
}

// fleetAuthority reads the fleet's certificate authority from the store, or creates it if there is none.
func fleetAuthority(ctx context.Context, store berylstore.Store) (berylkey.KeyPair, error) {
	callCtx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	var pair berylkey.KeyPair
	item, found, err := store.Get(callCtx, fleetKey)
	if err != nil {
		return pair, err
	}
	if !found {
		created, err := berylkey.CreateCA(time.Now())
		if err != nil {
			return pair, err
		}
		value, err := cbor.Marshal(created)
		if err != nil {
			return pair, err
		}
		result := store.Commit(callCtx, berylstore.Txn{Checks: []berylstore.Check{{Key: fleetKey}}, Puts: []berylstore.Put{{Key: fleetKey, Value: value}}})
		if result.Status == berylstore.Done {
			return created, nil
		}
		if len(result.Current) == 0 {
			return pair, errors.CombineErrors(errors.Newf("fleet key: %s", result.Status), result.Err)
		}
		item = result.Current[0]
	}
	return pair, errors.Wrap(cbor.Unmarshal(item.Value, &pair), "fleet key")
}
