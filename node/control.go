package node

import (
	"context"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/apex/log"

	"baobabstep"
	"baobabstep/core/config"
	"baobabstep/core/member"
	"baobabstep/io/peer"
)

// routerCloseTimeout bounds the wait for handlers when the VM stops.
const routerCloseTimeout = time.Second

// control ticks every part, until ctx ends.
func (n *Node) control(ctx context.Context) error {
	data := time.NewTicker(dataTick)
	defer data.Stop()
	lost := n.lostPeers()
	var lastControl, lastNews time.Time
	var out baobabstep.Outbox
	for {
		now := n.clock.Now()
		n.noteTick(now)
		out = out[:0]
		n.work.Tick(now, &out)
		if now.Sub(lastControl) >= controlTick {
			lastControl = now
			n.tickControl(ctx, now, &out)
		}
		if now.Sub(lastNews) >= newsInterval {
			lastNews = now
			n.sendNews(now)
		}
		n.send(n.options.Packets[0], out)
		select {
		case <-ctx.Done():
			return nil
		case id := <-lost:
			n.sendMember(n.fleet.ConnectionLost(n.clock.Now(), id))
		case <-data.C:
		}
	}
}

// lostPeers yields hints that a VM may have died: its connection ended. It is
// nil, and yields nothing, for peers that give no hints.
func (n *Node) lostPeers() <-chan baobabstep.VMID {
	if notifier, ok := n.options.Peers.(peer.LossNotifier); ok {
		return notifier.Lost()
	}
	return nil
}

// noteTick records that the VM runs, and notices if it did not for a while.
func (n *Node) noteTick(now time.Time) {
	n.notePause(now)
	n.lastTick.Store(int64(now.Sub(n.start)))
}

// tickControl drives what uses the control budget.
func (n *Node) tickControl(ctx context.Context, now time.Time, out *baobabstep.Outbox) {
	began := time.Now()
	n.flows.Tick(now, out)
	n.sendMember(n.fleet.Tick(now))
	n.sendConfig(n.replica.Tick(now))
	n.refresh(ctx, now)
	n.askLeaving(now)
	n.joinOnceSettled(now)
	n.probe(ctx, now, out)
	n.counts.controlNanos.Add(uint64(time.Since(began)))
}

// refresh hands a new view or configuration to everyone who routes by it.
func (n *Node) refresh(ctx context.Context, now time.Time) {
	n.setPaused(now, n.fleet.Paused(now))
	n.warnOfDuplicate(now)
	if v := n.fleet.View(now); v != n.view.Load() {
		n.applyView(now, v)
	}
	if c := n.replica.Current(); c != nil && c != n.config.Load() {
		n.applyConfig(ctx, now, c)
	}
}

// askLeaving asks members for the targets that are leaving, until the VM joins.
func (n *Node) askLeaving(now time.Time) {
	v := n.view.Load()
	if v == nil || n.joined.Load() || now.Sub(n.askedAt) < newsInterval {
		return
	}
	n.askedAt = now
	for _, to := range n.newsPartners(v) {
		n.sendPeer(to, baobabstep.TopicTarget, n.targets.EncodeQuery())
	}
}

// joinOnceSettled takes up roles.
func (n *Node) joinOnceSettled(now time.Time) {
	if n.joined.Load() || n.settled(now) != nil {
		return
	}
	n.joined.Store(true)
	n.fleet.Join(now)
	n.log.Info("joined")
}

// warnOfDuplicate says that two processes use one name: each refutes what the
// other says, and their peers send packets now to one, now to the other.
func (n *Node) warnOfDuplicate(now time.Time) {
	if !n.fleet.DuplicateName(now) || now.Sub(n.duplicateAt) < duplicateInterval {
		return
	}
	n.duplicateAt = now
	n.log.Error("another VM uses this name; give each VM a name of its own")
}

func (n *Node) applyView(now time.Time, v *baobabstep.View) {
	all := n.fleet.All(now)
	n.options.Book.setVMs(all)
	n.options.Peers.SetPeers(all)
	n.replica.SetFleet(now, all)
	n.targets.SetView(now, v)
	n.work.SetView(now, v)
	n.flows.SetView(now, v)
	if old := n.view.Load(); !v.Unsure && (old == nil || old.Unsure) {
		n.sureAt.Store(int64(now.Sub(n.start)))
	}
	n.view.Store(v)
	n.log.WithFields(log.Fields{
		"view": v.Number, "members": len(v.Members), "unsure": v.Unsure,
	}).Info("view changed")
}

// applyConfig puts a version in force. The address book comes first, so that no
// part picks a target that cannot be addressed.
func (n *Node) applyConfig(ctx context.Context, now time.Time, c *baobabstep.Config) {
	if old := n.config.Load(); old != nil && c.Version <= old.Version {
		n.broken("config_version_grows", "applied version would not grow")
		return
	}
	n.options.Book.setConfig(c)
	n.targets.SetConfig(now, c)
	n.work.SetConfig(now, c)
	n.flows.SetConfig(now, c)
	n.config.Store(c)
	if n.streams != nil {
		n.streams.SetConfig(ctx, c)
	}
	n.inForce.InForce(now, n.replica.Set())
}

// sendNews tells some peers what this VM learned of the targets.
func (n *Node) sendNews(now time.Time) {
	v := n.view.Load()
	if v == nil {
		return
	}
	body := n.targets.EncodeGossip(now, newsBytes)
	if len(body) == 0 {
		return
	}
	for _, to := range n.newsPartners(v) {
		n.sendPeer(to, baobabstep.TopicTarget, body)
	}
}

func (n *Node) sendMember(outs []member.Out) {
	direct, _ := n.options.Peers.(peer.AddressSender)
	for _, o := range outs {
		m := baobabstep.PeerMessage{Topic: baobabstep.TopicMember, Body: o.Body}
		n.countControl(baobabstep.TopicMember, o.Body)
		err := n.options.Peers.Send(o.To, m)
		if err != nil && o.Address.IsValid() && direct != nil {
			err = direct.SendAddress(o.Address, m)
		}
		n.notePeerError(err)
	}
}

func (n *Node) sendConfig(outs []config.Out) {
	for _, o := range outs {
		n.sendPeer(o.To, baobabstep.TopicConfig, o.Body)
	}
}

func (n *Node) sendPeer(to baobabstep.VMID, topic string, body []byte) {
	n.countControl(topic, body)
	n.notePeerError(n.options.Peers.Send(to, baobabstep.PeerMessage{Topic: topic, Body: body}))
}

func (n *Node) countControl(topic string, body []byte) {
	n.counts.controlBytes.addN(topic, float64(len(body)))
}

// notePeerError counts a message that could not be queued. Every protocol of
// the control path repeats what still matters, so nothing more is done.
func (n *Node) notePeerError(err error) {
	if err != nil {
		n.counts.peerErrors.Add(1)
	}
}

// listen runs the router of the control path until ctx ends.
func (n *Node) listen(ctx context.Context) error {
	router, err := message.NewRouter(message.RouterConfig{CloseTimeout: routerCloseTimeout}, watermill.NopLogger{})
	if err != nil {
		return err
	}
	subscriber := peer.NewSubscriber(n.options.Peers)
	handlers := map[string]func(now time.Time, from baobabstep.VMID, body []byte){
		baobabstep.TopicMember: func(now time.Time, from baobabstep.VMID, body []byte) {
			n.sendMember(n.fleet.Handle(now, from, body))
		},
		baobabstep.TopicConfig: func(now time.Time, from baobabstep.VMID, body []byte) {
			n.sendConfig(n.replica.Handle(now, from, body))
		},
		baobabstep.TopicTarget: func(now time.Time, from baobabstep.VMID, body []byte) {
			n.learnTargets(now, from, body)
		},
	}
	for topic, handle := range handlers {
		router.AddConsumerHandler(topic, topic, subscriber, func(m *message.Message) error {
			return n.receive(m, handle)
		})
	}
	err = router.Run(ctx)
	if closeErr := subscriber.Close(); err == nil {
		err = closeErr
	}
	return err
}

// learnTargets takes news of targets, and answers a VM that asks.
func (n *Node) learnTargets(now time.Time, from baobabstep.VMID, body []byte) {
	reply, err := n.targets.HandleGossip(now, from, body)
	if err != nil {
		n.counts.malformed.Add(1)
	}
	if reply != nil {
		n.sendPeer(from, baobabstep.TopicTarget, reply)
	}
}

// receive passes one control message to its handler.
func (n *Node) receive(m *message.Message, handle func(time.Time, baobabstep.VMID, []byte)) error {
	from, err := peer.ParseVMID(m.Metadata.Get(peer.MetadataFrom))
	if err != nil {
		return err
	}
	began := time.Now()
	handle(n.clock.Now(), from, m.Payload)
	n.counts.controlNanos.Add(uint64(time.Since(began)))
	return nil
}
