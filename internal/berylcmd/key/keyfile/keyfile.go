package keyfile

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylkey"
)

// Permissions of the folder and the files that are created.
const (
	folderMode = 0o700
	keyMode    = 0o600
	certMode   = 0o644
)

// WritePair writes NAME.pem and NAME-key.pem. It fails if either file exists.
func WritePair(folder, name string, pair berylkey.KeyPair) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	if err := writeNewFile(keyPath(folder, name), pair.Key, keyMode); err != nil {
		return err
	}
	return writeNewFile(certPath(folder, name), pair.Cert, certMode)
}

// ReadPair reads NAME.pem and NAME-key.pem.
func ReadPair(folder, name string) (berylkey.KeyPair, error) {
	cert, err := os.ReadFile(certPath(folder, name))
	if err != nil {
		return berylkey.KeyPair{}, errors.WithHint(err, "create the certificate authority first with `berylroad key create-ca`")
	}
	key, err := os.ReadFile(keyPath(folder, name))
	return berylkey.KeyPair{Cert: cert, Key: key}, err
}

// writeNewFile creates a file and fails if it exists, because an overwritten key cannot be recovered.
func writeNewFile(path string, data []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.WithHint(err, "remove the old file yourself if it is no longer needed")
	}
	_, err = file.Write(data)
	return errors.CombineErrors(err, file.Close())
}

func certPath(folder, name string) string {
	return filepath.Join(folder, name+".pem")
}

func keyPath(folder, name string) string {
	return filepath.Join(folder, name+"-key.pem")
}
