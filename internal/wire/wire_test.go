package wire_test

var secrets = [][]byte{[]byte("a secret of the site")}
