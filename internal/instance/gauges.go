package instance

// registerMetrics exports the counts of other components as metrics of the instance.
func (i *Instance) registerMetrics() {
	m := i.metrics
	m.registerGauge("configuration_version", "Configuration version in force.", func() float64 {
		return float64(i.holder.Current().Version)
	})
	m.registerGauge("confirmed", "1 while the instance may admit new work.", func() float64 {
		return boolGauge(i.lifecycle.confirmed())
	})
	m.registerGauge("draining", "1 during the graceful shutdown.", func() float64 { return boolGauge(i.lifecycle.isDraining()) })
	m.registerGauge("instances_known", "Instances of the roster, the denominator of a majority.", func() float64 {
		return float64(i.lifecycle.freshConfirmation().RosterSize)
	})
	m.registerGauge("roster_changing", "1 while a larger change of the roster needs a majority of the old and the new one.", func() float64 {
		return boolGauge(len(i.rosterManager.State().Roster.Previous) > 0)
	})
	m.registerGauge("instances_heard", "Instances of the roster heard from in the last 2 s.", func() float64 {
		return float64(i.lifecycle.freshConfirmation().Contacted)
	})
	m.registerGauge("generations_active", "Generations that run at this instance.", func() float64 { return float64(i.registry.ActiveGenerations()) })
	m.registerGauge("connections_active", "Callers' connections to generations.", func() float64 {
		return float64(i.activity.generations.Load())
	})
	m.registerGauge("calls_active", "Calls in progress.", func() float64 { return float64(i.activity.calls.Load()) })
	m.registerGauge("contents_quarantined", "Quarantined contents.", func() float64 { return float64(i.upstreams.QuarantinedContents()) })
	m.registerCounter("heartbeat_bytes_in_total", "Bytes of heartbeats received, without transport overhead.", func() float64 {
		return float64(i.membership.Stats().BytesIn)
	})
	m.registerCounter("heartbeat_bytes_out_total", "Bytes of heartbeats sent, without transport overhead.", func() float64 {
		return float64(i.membership.Stats().BytesOut)
	})
	m.registerCounter("link_bytes_in_total", "Bytes received over links.", func() float64 { return float64(i.transport.Stats().BytesIn) })
	m.registerCounter("link_bytes_out_total", "Bytes sent over links.", func() float64 { return float64(i.transport.Stats().BytesOut) })
	m.registerCounter("link_messages_in_total", "Messages received over links.", func() float64 { return float64(i.transport.Stats().MessagesIn) })
	m.registerCounter("link_messages_out_total", "Messages sent over links.", func() float64 { return float64(i.transport.Stats().MessagesOut) })
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
