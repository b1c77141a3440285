package configuration

// Defaults of the document's fields.
const (
	DefaultEngineDeadlineMS      = 600_000 // milliseconds
	DefaultServiceDeadlineMS     = 10_000  // milliseconds
	DefaultEngineQueueMS         = 10_000  // milliseconds
	DefaultServiceQueueMS        = 1_000   // milliseconds
	DefaultDetachGraceMS         = 30_000  // milliseconds
	DefaultMaxTokens             = 32_768
	DefaultMaxAttempts           = 8
	DefaultSlots                 = 8
	DefaultRequestsPerSecond     = 100.0
	DefaultConcurrentGenerations = 100
	DefaultWeight                = 1.0
	DefaultPriority              = "interactive"
)

// WithDefaults returns a copy of the document in which each absent field has
// its default. Documents are stored without defaults.
func WithDefaults(d Document) Document {
	return Document{
		Services:   mapValues(d.Services, serviceDefaults),
		Upstreams:  mapValues(d.Upstreams, upstreamDefaults),
		Workspaces: mapValues(d.Workspaces, workspaceDefaults),
		Rules:      mapValues(d.Rules, ruleDefaults),
	}
}

func serviceDefaults(s Service) Service {
	deadline, queue := int64(DefaultServiceDeadlineMS), int64(DefaultServiceQueueMS)
	if s.Kind == KindEngine {
		deadline, queue = DefaultEngineDeadlineMS, DefaultEngineQueueMS
		setDefault(&s.LossHeadroom, HeadroomUpstream)
	}
	setDefault(&s.ResumePolicy, ResumeSparing)
	setDefault(&s.DeadlineMS, deadline)
	setDefault(&s.QueueMS, min(queue, s.DeadlineMS))
	setDefault(&s.DetachGraceMS, DefaultDetachGraceMS)
	setDefault(&s.MaxTokens, DefaultMaxTokens)
	setDefault(&s.MaxAttempts, DefaultMaxAttempts)
	return s
}

func upstreamDefaults(u Upstream) Upstream {
	setDefault(&u.Slots, DefaultSlots)
	return u
}

func workspaceDefaults(w Workspace) Workspace {
	setDefault(&w.RequestsPerSecond, DefaultRequestsPerSecond)
	setDefault(&w.ConcurrentGenerations, DefaultConcurrentGenerations)
	setDefault(&w.Weight, DefaultWeight)
	return w
}

func ruleDefaults(r Rule) Rule {
	setDefault(&r.Priority, DefaultPriority)
	return r
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func mapValues[K comparable, V any](m map[K]V, change func(V) V) map[K]V {
	changed := make(map[K]V, len(m))
	for k, v := range m {
		changed[k] = change(v)
	}
	return changed
}
