package peer

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/ThreeDotsLabs/watermill/message"

	"baobabstep"
)

// Metadata keys of bus messages. The values are VM identifiers in the form of
// [FormatVMID].
const (
	// MetadataTo names the receiver of a published message.
	MetadataTo = "to"
	// MetadataFrom names the authenticated sender of a received message.
	MetadataFrom = "from"
)

// subscriptionLimit is the number of messages that wait for one subscriber.
const subscriptionLimit = 1024

var (
	_ message.Publisher  = (*Publisher)(nil)
	_ message.Subscriber = (*Subscriber)(nil)
)

// FormatVMID returns the form of a VM identifier in message metadata.
func FormatVMID(id baobabstep.VMID) string { return strconv.FormatUint(uint64(id), 16) }

// ParseVMID reads the form that [FormatVMID] returns. The error has
// CodeInvalid.
func ParseVMID(s string) (baobabstep.VMID, error) {
	id, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, baobabstep.Errorf(baobabstep.CodeInvalid, "peer.parse_vm_id", "got %q, want a hexadecimal number", s)
	}
	return baobabstep.VMID(id), nil
}

// Publisher is the bus end that sends. It may be used by several goroutines.
type Publisher struct {
	peers baobabstep.Peers
}

// NewPublisher returns a publisher over peers. Close of the publisher leaves
// peers open.
func NewPublisher(peers baobabstep.Peers) *Publisher { return &Publisher{peers: peers} }

// Publish sends each message to the VM named by its [MetadataTo].
func (p *Publisher) Publish(topic string, messages ...*message.Message) error {
	for _, m := range messages {
		to, err := ParseVMID(m.Metadata.Get(MetadataTo))
		if err != nil {
			return err
		}
		if err := p.peers.Send(to, baobabstep.PeerMessage{Topic: topic, Body: m.Payload}); err != nil {
			return err
		}
	}
	return nil
}

// Close does nothing.
func (p *Publisher) Close() error { return nil }

// Subscriber is the bus end that receives. It is the only reader of the
// messages of its peers.
//
// A message that a handler rejects (Nack) is counted and not delivered again:
// the sender repeats what still matters.
type Subscriber struct {
	ctx    context.Context
	cancel context.CancelFunc
	ended  chan struct{}
	done   chan struct{}

	received, rejected, dropped atomic.Uint64

	mu      sync.RWMutex
	closed  bool
	running int
	topics  map[string][]chan baobabstep.PeerMessage
}

// NewSubscriber starts to read the messages of peers. It ends by itself when
// they are closed.
func NewSubscriber(peers baobabstep.Peers) *Subscriber {
	s := &Subscriber{
		ended:  make(chan struct{}),
		done:   make(chan struct{}),
		topics: make(map[string][]chan baobabstep.PeerMessage),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.running = 1
	go s.dispatch(s.ctx, peers.Messages())
	go s.wait()
	return s
}

// SubscriberStats counts what a [Subscriber] did.
type SubscriberStats struct {
	Received uint64
	// Rejected counts messages that a handler did not take.
	Rejected uint64
	// Dropped counts messages without a subscriber, or whose subscriber was
	// too slow.
	Dropped uint64
}

// Stats returns the counters.
func (s *Subscriber) Stats() SubscriberStats {
	return SubscriberStats{s.received.Load(), s.rejected.Load(), s.dropped.Load()}
}

// Done is closed when every goroutine has ended.
func (s *Subscriber) Done() <-chan struct{} { return s.done }

// Subscribe yields the messages of a topic, each after the one before was
// acknowledged, until ctx ends or the subscriber is closed.
func (s *Subscriber) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, baobabstep.Errorf(baobabstep.CodeStopping, "peer.subscribe", "subscriber is closed")
	}
	queue := make(chan baobabstep.PeerMessage, subscriptionLimit)
	out := make(chan *message.Message)
	s.topics[topic] = append(s.topics[topic], queue)
	s.running++
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.ctx, cancel)
	go func() {
		defer func() { s.ended <- struct{}{} }()
		defer close(out)
		defer cancel()
		defer stop()
		defer s.unsubscribe(topic, queue)
		s.serve(ctx, queue, out)
	}()
	return out, nil
}

func (s *Subscriber) unsubscribe(topic string, queue chan baobabstep.PeerMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, q := range s.topics[topic] {
		if q == queue {
			rest := append([]chan baobabstep.PeerMessage{}, s.topics[topic][:i]...)
			s.topics[topic] = append(rest, s.topics[topic][i+1:]...)
			return
		}
	}
}

// dispatch hands each message to the queues of its topic.
func (s *Subscriber) dispatch(ctx context.Context, messages <-chan baobabstep.PeerMessage) {
	defer func() { s.ended <- struct{}{} }()
	defer s.shut()
	for {
		select {
		case <-ctx.Done():
			return
		case m, ok := <-messages:
			if !ok {
				return
			}
			s.received.Add(1)
			s.route(m)
		}
	}
}

func (s *Subscriber) route(m baobabstep.PeerMessage) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	queues := s.topics[m.Topic]
	if len(queues) == 0 {
		s.dropped.Add(1)
	}
	for _, queue := range queues {
		select {
		case queue <- m:
		default:
			s.dropped.Add(1)
		}
	}
}

// serve delivers the messages of one subscription in order.
func (s *Subscriber) serve(ctx context.Context, queue <-chan baobabstep.PeerMessage, out chan<- *message.Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			if !s.deliver(ctx, m, out) {
				return
			}
		}
	}
}

// deliver reports whether ctx was still open.
func (s *Subscriber) deliver(ctx context.Context, m baobabstep.PeerMessage, out chan<- *message.Message) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	bm := message.NewMessageWithContext(ctx, "", m.Body)
	bm.Metadata.Set(MetadataFrom, FormatVMID(m.From))
	select {
	case <-ctx.Done():
		return false
	case out <- bm:
	}
	select {
	case <-ctx.Done():
		return false
	case <-bm.Acked():
	case <-bm.Nacked():
		s.rejected.Add(1)
	}
	return true
}

func (s *Subscriber) shut() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
}

// wait reads the end of every goroutine. The first one, dispatch, shuts the
// subscriber before it ends, so that running is zero only then.
func (s *Subscriber) wait() {
	for range s.ended {
		s.mu.Lock()
		s.running--
		last := s.running == 0
		s.mu.Unlock()
		if last {
			break
		}
	}
	close(s.done)
}

// Close ends all subscriptions and returns when all goroutines have ended.
func (s *Subscriber) Close() error {
	s.shut()
	<-s.done
	return nil
}
