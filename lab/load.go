package lab

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/postmount/postmount/requests/entry"
	"github.com/postmount/postmount/standin/worker"
	"github.com/postmount/postmount/verdict"
)

// LoadOptions are the parameters of a load.
type LoadOptions struct {
	Topology Topology
	// Entries are the traffic addresses that requests are balanced over.
	Entries []string
	// Ready reports whether an entry passes the balancer's health check; nil means that all do.
	Ready func(addr string) bool
	// Scale is a factor on the arrival rate of every class.
	Scale float64
	// Resend is the share of keyed requests that are sent twice, the second time through another
	// entry. Half of them are sent again while the first send is in flight, the others after it.
	Resend float64
	Seed   uint64
}

// Load is an open-loop load generator: requests are sent when they are due, whether or not
// earlier ones got a response, and latency counts from the due time.
type Load struct {
	opts         LoadOptions
	http         *http.Client
	entryCounter atomic.Uint64
	stats        map[string]*ClassStats // by "service/class"; the map doesn't change after NewLoad

	mu       sync.Mutex
	outcomes map[string]verdict.Verdict // of each keyed request by ID: the strongest of its sends
}

// ClassStats are the results of one class.
type ClassStats struct {
	mu               sync.Mutex
	Sent             int64
	Done             int64
	NotRun           int64
	MayHaveRun       int64
	Unanswered       int64 // sends without a response, for example because the entry has ended
	Truncated        int64 // truncated responses
	WrongRequest     int64 // responses to another request
	ResendMismatches int64 // resends whose response differs from the first
	Codes            map[string]int64
	latency          *hdrhistogram.Histogram // microseconds; complete responses to done requests only
}

const (
	maxLatencyMicros  = 60 * 1000 * 1000 // longer latencies are recorded as this
	significantDigits = 3
)

// NewLoad returns a load; Run starts it.
func NewLoad(o LoadOptions) *Load {
	l := &Load{
		opts: o,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
			MaxIdleConnsPerHost: 256,
			DisableCompression:  true,
		}},
		stats:    map[string]*ClassStats{},
		outcomes: map[string]verdict.Verdict{},
	}
	for _, s := range o.Topology.Services {
		for _, c := range s.Classes {
			l.stats[s.Name+"/"+c.Name] = &ClassStats{Codes: map[string]int64{}, latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
		}
	}
	return l
}

// Run sends requests until ctx ends and waits for the last responses.
func (l *Load) Run(ctx context.Context) {
	var wg sync.WaitGroup
	seed := l.opts.Seed
	for _, s := range l.opts.Topology.Services {
		for _, c := range s.Classes {
			seed++
			rnd := rand.New(rand.NewPCG(l.opts.Seed, seed))
			wg.Add(1)
			go func() {
				defer wg.Done()
				l.runClass(ctx, s.Name, c, rnd)
			}()
		}
	}
	wg.Wait()
	l.http.CloseIdleConnections()
}

// runClass sends the requests of a class as a Poisson process with its rate.
func (l *Load) runClass(ctx context.Context, service string, c Class, rnd *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	due := time.Now()
	for {
		due = due.Add(time.Duration(rnd.ExpFloat64() / (c.Rate * l.opts.Scale) * float64(time.Second)))
		t := time.NewTimer(time.Until(due))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		resend, concurrent := rnd.Float64() < l.opts.Resend, rnd.IntN(2) == 0
		wg.Add(1)
		go func(due time.Time) {
			defer wg.Done()
			l.sendRequest(service, c, due, resend && c.Keyed, concurrent)
		}(due)
	}
}

// request is a request and its due time.
type request struct {
	service string
	class   Class
	id      string // also the idempotency key if the class is keyed
	body    []byte
	due     time.Time
}

// answer is the result of one send, with the response if there was one.
type answer struct {
	verdict verdict.Verdict
	body    []byte // nil if there was no response
}

// sendRequest sends a new request that was due at due, and sends it again if resend is set: while
// the first send is in flight if concurrent is set, else after it.
func (l *Load) sendRequest(service string, c Class, due time.Time, resend, concurrent bool) {
	id, err := uuid.NewV7()
	if err != nil {
		return
	}
	r := request{service: service, class: c, id: id.String(), due: due, body: []byte("order " + id.String())}
	entryNumber := int(l.entryCounter.Add(1))
	if !resend {
		l.recordOutcome(r, l.send(r, entryNumber))
		return
	}
	var second answer
	var wg sync.WaitGroup
	sendAgain := func() {
		defer wg.Done()
		second = l.send(r, entryNumber+1)
	}
	wg.Add(1)
	if concurrent {
		go sendAgain()
	}
	first := l.send(r, entryNumber)
	if !concurrent {
		sendAgain()
	}
	wg.Wait()
	l.recordOutcome(r, first)
	l.recordOutcome(r, second)
	if first.verdict == verdict.Done && second.verdict == verdict.Done && !bytes.Equal(first.body, second.body) {
		l.count(r, func(s *ClassStats) { s.ResendMismatches++ })
	}
}

// recordOutcome keeps the strongest verdict on a keyed request: done before may have run before
// not run.
func (l *Load) recordOutcome(r request, a answer) {
	if !r.class.Keyed {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.outcomes[r.id]
	if !known || a.verdict == verdict.Done || (a.verdict == verdict.MayHaveRun && old == verdict.NotRun) {
		l.outcomes[r.id] = a.verdict
	}
}

func (l *Load) count(r request, fn func(*ClassStats)) {
	s := l.stats[r.service+"/"+r.class.Name]
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(s)
}

// pickEntry returns the next ready entry from number n on, or entry n if none is ready.
func (l *Load) pickEntry(n int) string {
	for i := range l.opts.Entries {
		addr := l.opts.Entries[(n+i)%len(l.opts.Entries)]
		if l.opts.Ready == nil || l.opts.Ready(addr) {
			return addr
		}
	}
	return l.opts.Entries[n%len(l.opts.Entries)]
}

// send sends a request once, checks its response and counts the result.
func (l *Load) send(r request, n int) answer {
	l.count(r, func(s *ClassStats) { s.Sent++ })
	resp, body, err := l.roundTrip(r, l.pickEntry(n))
	if resp == nil {
		l.count(r, func(s *ClassStats) { s.Unanswered++ })
		return answer{verdict: verdict.MayHaveRun}
	}
	v := verdict.Parse(resp.Header.Get(verdict.Header))
	took := time.Since(r.due)
	l.count(r, func(s *ClassStats) {
		switch {
		case err != nil:
			s.Truncated++
		case v == verdict.Done:
			s.Done++
			_ = s.latency.RecordValue(min(took.Microseconds(), maxLatencyMicros))
			s.WrongRequest += countWrongRequest(r, body)
		case v == verdict.NotRun:
			s.NotRun++
			s.Codes[problemCode(body)]++
		default:
			s.MayHaveRun++
			s.Codes[problemCode(body)]++
		}
	})
	return answer{verdict: v, body: body}
}

// roundTrip sends a request to addr and reads the whole response. The response is nil if there was
// none; a response together with an error means that its body is truncated.
func (l *Load) roundTrip(r request, addr string) (*http.Response, []byte, error) {
	method := http.MethodGet
	if r.class.Keyed {
		method = http.MethodPost
	}
	// Hiding the type of the body leaves GetBody unset, so that the transport can't send the
	// request a second time by itself.
	req, err := http.NewRequest(method, "http://"+addr+"/"+r.class.Name+"/"+r.id, struct{ io.Reader }{bytes.NewReader(r.body)})
	if err != nil {
		return nil, nil, err
	}
	req.ContentLength = int64(len(r.body))
	req.Host = Host(r.service)
	req.Header.Set(entry.HeaderDeadline, strconv.Itoa(r.class.DeadlineMS))
	req.Header.Set("X-Load-Id", r.id)
	req.Header.Set(worker.HeaderServiceMS, strconv.Itoa(r.class.ServiceMS))
	if r.class.Keyed {
		req.Header.Set(entry.HeaderKey, r.id)
		req.Header.Set(worker.HeaderRunOnce, r.id)
	}
	resp, err := l.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// countWrongRequest returns 1 if a complete response doesn't belong to r, else 0.
func countWrongRequest(r request, body []byte) int64 {
	var a worker.Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return 1
	}
	sum := sha256.Sum256(r.body)
	if a.LoadID != r.id || a.BodySum != hex.EncodeToString(sum[:]) {
		return 1
	}
	return 0
}

// problemCode returns the code in a problem response, "unknown" if it isn't one.
func problemCode(body []byte) string {
	var p entry.Problem
	if json.Unmarshal(body, &p) != nil || p.Type == "" {
		return "unknown"
	}
	return p.Type[len("urn:postmount:"):]
}

// Summary is the result of a class.
type Summary struct {
	Service          string           `json:"service"`
	Class            string           `json:"class"`
	Sent             int64            `json:"sent"`
	Done             int64            `json:"done"`
	NotRun           int64            `json:"not_run"`
	MayHaveRun       int64            `json:"may_have_run"`
	Unanswered       int64            `json:"lost"`
	Truncated        int64            `json:"cut"`
	WrongRequest     int64            `json:"foreign"`
	ResendMismatches int64            `json:"differs"`
	Codes            map[string]int64 `json:"codes"`
	P50MS            float64          `json:"p50_ms"`
	P99MS            float64          `json:"p99_ms"`
	P999MS           float64          `json:"p999_ms"`
	MaxMS            float64          `json:"max_ms"`
}

// Summaries returns the results in the order of the topology.
func (l *Load) Summaries() []Summary {
	var out []Summary
	for _, s := range l.opts.Topology.Services {
		for _, c := range s.Classes {
			st := l.stats[s.Name+"/"+c.Name]
			st.mu.Lock()
			ms := func(q float64) float64 { return float64(st.latency.ValueAtQuantile(q)) / 1000 }
			out = append(out, Summary{
				Service: s.Name, Class: c.Name, Sent: st.Sent, Done: st.Done, NotRun: st.NotRun, MayHaveRun: st.MayHaveRun,
				Unanswered: st.Unanswered, Truncated: st.Truncated, WrongRequest: st.WrongRequest, ResendMismatches: st.ResendMismatches, Codes: st.Codes,
				P50MS: ms(50), P99MS: ms(99), P999MS: ms(99.9), MaxMS: float64(st.latency.Max()) / 1000,
			})
			st.mu.Unlock()
		}
	}
	return out
}

// CheckExecutions compares the verdict that the caller of each keyed request got with how often
// the workers ran it, according to ran. It returns one line for each violation.
func (l *Load) CheckExecutions(ran func(id string) int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var violations []string
	for id, v := range l.outcomes {
		n := ran(id)
		switch {
		case n > 1:
			violations = append(violations, fmt.Sprintf("request %s ran %d times", id, n))
		case v == verdict.NotRun && n != 0:
			violations = append(violations, fmt.Sprintf("request %s ran, its caller was told that it did not", id))
		case v == verdict.Done && n != 1:
			violations = append(violations, fmt.Sprintf("request %s was answered and ran %d times", id, n))
		}
	}
	return violations
}
