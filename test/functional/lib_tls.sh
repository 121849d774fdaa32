# Certificates for tests; source lib.sh or lib_tools.sh first.
# shellcheck shell=sh disable=SC2154

# make_ca NAME: $work/NAME.pem signs the certificates of the test
make_ca() {
	openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes \
	    -keyout "$work/$1.key" -out "$work/$1.pem" -days 2 \
	    -subj "/CN=$1" >/dev/null 2>&1
}

# make_certificate CA IP SERIAL CERTIFICATE KEY
make_certificate() {
	openssl req -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes \
	    -keyout "$5" -out "$work/request.pem" -subj "/CN=server" \
	    >/dev/null 2>&1
	echo "subjectAltName=IP:$2" >"$work/names"
	openssl x509 -req -in "$work/request.pem" -CA "$work/$1.pem" \
	    -CAkey "$work/$1.key" -set_serial "$3" -days 2 \
	    -extfile "$work/names" -out "$4" >/dev/null 2>&1
}
