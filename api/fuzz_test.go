package api

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"
)

// checkProblem checks that a rejection is "not run", names the field and the reason, and
// can be decoded again.
func checkProblem(t *testing.T, p *Problem) {
	if p.Outcome() != OutcomeNotRun || p.Field == "" || p.Detail == "" {
		t.Fatalf("invalid rejection: %+v", p)
	}
	w := httptest.NewRecorder()
	p.WriteResponse(w)
	var back Problem
	if err := json.Unmarshal(w.Body.Bytes(), &back); err != nil || back.Reason != p.Reason {
		t.Fatalf("%+v is decoded as %+v: %v", p, back, err)
	}
}

// FuzzCall checks that headers are rejected with the name of the header, or accepted
// within the limits such that another entry parses the same options.
func FuzzCall(f *testing.F) {
	f.Add("harbourline", "booking", "250ms", "true", "k1", "true")
	f.Add("", "", "", "", "", "")
	f.Add("a", "b", "-5s", "yes", "k", "1")
	f.Add("a", "b", "2562047h47m16.854775807s", "false", "\xff\x00", "false")
	f.Add("a\r\nX: y", "b/../c", "1e9h", "TRUE", "", "")
	f.Add("a", "b", "0.000000001ns", "", "", "")
	f.Add("a", "b", ".5s", "", "", "")
	f.Fuzz(func(t *testing.T, account, class, deadline, repeatable, key, first string) {
		h := http.Header{}
		for name, v := range map[string]string{
			HeaderAccount: account, HeaderClass: class, HeaderDeadline: deadline,
			HeaderRepeatable: repeatable, HeaderIdempotencyKey: key, HeaderFirstDelivery: first,
		} {
			h.Set(name, v)
		}
		c, p := ParseCallOptions(h)
		if p != nil {
			checkProblem(t, p)
			if h.Get(p.Field) != "" && p.Detail == "missing" {
				t.Fatalf("%s is reported as missing but set", p.Field)
			}
			return
		}
		if c.Account == "" || len(c.Account) > MaxNameLen || len(c.IdempotencyKey) > MaxIdempotencyKeyLen || c.Deadline < 0 || deadline != "" && c.Deadline == 0 {
			t.Fatalf("accepted invalid options: %+v", c)
		}
		again := http.Header{}
		c.SetHeader(again)
		if back, p := ParseCallOptions(again); p != nil || !reflect.DeepEqual(back, c) {
			t.Fatalf("%+v is parsed again as %+v, %v", c, back, p)
		}
	})
}

// FuzzJobRequest checks that a body is rejected with the field, or accepted such that its
// encoding is accepted as the same request.
func FuzzJobRequest(f *testing.F) {
	for _, body := range []string{
		`{"account":"a","class":"c","accelerators":8,"adjacency":"rack","estimate":"10m","payload":{"x":1}}`,
		`{"account":"a","class":"c","accelerators":1e99}`,
		`{"account":"a","class":"c","accelerators":"8"}`,
		`{"account":"a","class":"c","accelerators":8,"estimate":5}`,
		`{"account":"a","class":"c","accelerators":8,"repeatable":null,"payload":null}`,
		`[]`, `5`, `"x"`, `null`, ``, `{}{}`, `{"a`, `{"":1}`, `{"account":{"x":1}}`,
		`{"account":"a","class":"c","accelerators":8,"cores":9223372036854775807}`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var r JobRequest
		p := Decode(bytes.NewReader(body), MaxBodyLen, &r)
		if p == nil {
			p = r.Validate()
		}
		if p != nil {
			checkProblem(t, p)
			return
		}
		text, err := json.Marshal(r)
		if err != nil {
			t.Fatalf("%+v cannot be encoded: %v", r, err)
		}
		var back JobRequest
		if p := Decode(bytes.NewReader(text), 2*MaxBodyLen, &back); p != nil || back.Validate() != nil || back.Accelerators != r.Accelerators {
			t.Fatalf("%s is decoded as %+v: %v", text, back, p)
		}
	})
}

// FuzzDuration checks that durations are encoded without loss.
func FuzzDuration(f *testing.F) {
	f.Add(int64(0))
	f.Add(int64(-1 << 63))
	f.Add(int64(time.Hour + 1))
	f.Fuzz(func(t *testing.T, ns int64) {
		text, err := json.Marshal(Duration(ns))
		if err != nil {
			t.Fatal(err)
		}
		var back Duration
		if err := json.Unmarshal(text, &back); err != nil || int64(back) != ns {
			t.Fatalf("%d is encoded as %s and decoded as %d: %v", ns, text, back, err)
		}
	})
}
