// Package interference estimates by how much tasks of one image slow down tasks of another one beside them on a backend server. It reads no clock and does no
// I/O.
//
// For each image it fits the logarithm of what its tasks measure (the run time of a task that ends, the tail latency of one that serves) to a base, an effect
// of the server and one coefficient for each image beside, weighted with the number of its tasks. The fit is recursive least squares with forgetting, so
// images that always occur together share what they cause, and a changed image is learnt again.
package interference

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxImages bounds the images with a model, and maxNeighbours the images that a model tells apart. The least recently observed ones make room.
	maxImages     = 64
	maxNeighbours = 12
	// memory is the number of samples of an image after which an old sample weighs 1/e.
	memory = 400
	// priorVariance is the variance of a coefficient that has not been observed, in units of the variance of the residuals.
	priorVariance = 4.0
	// maxResidual is the number of standard deviations to which a residual is cut, so that a stalled task weighs no more than a slow one.
	maxResidual = 3.0
	// initialDeviation is the standard deviation of the residuals of a new model, and minDeviation the lowest one, in logarithms.
	initialDeviation = 0.5
	minDeviation     = 0.05
	// serverRate is the weight of a new residual in the effect of a server, and maxServers bounds the servers with an effect. The least recently observed
	// one makes room.
	serverRate = 0.05
	maxServers = 4096
	// minFactor is the lowest factor that is reported, enterErrors the number of standard errors by which an estimate must be above it to come into force,
	// and leaveErrors the same for an estimate that is in force.
	minFactor   = 1.1
	enterErrors = 4.0
	leaveErrors = 1.0
	// minSamples is the number of samples with the other image beside that an estimate needs, and minServers the number of servers that they come from:
	// a single server may be slow for its own reasons.
	minSamples = 30
	minServers = 3
)

// Neighbour is an image beside a task.
type Neighbour struct {
	Image string
	Tasks float64 // mean number of its tasks, each weighted with the share of its full speed
}

// Sample is one measurement of a task.
type Sample struct {
	Image  string
	Server string
	Value  float64 // run time or tail latency; only compared with others of the image
	Beside []Neighbour
}

// Pair is an estimate that is in force.
type Pair struct {
	Image   string  `json:"image"`
	Beside  string  `json:"beside"`
	Factor  float64 `json:"factor"` // by which one task of the other image slows a task down
	Samples int     `json:"samples"`
}

// neighbour is the state of an image beside the one of a model.
type neighbour struct {
	image    string
	samples  int
	servers  []string // the first minServers servers that it was seen on
	inForce  bool
	factor   float64
	lastSeen int
}

// model is the fit of one image. Coefficient 0 is the base, coefficient i+1 belongs to neighbours[i].
type model struct {
	neighbours []neighbour
	beta       []float64
	cov        [][]float64 // covariance of beta in units of the variance of the residuals
	variance   float64     // of the residuals
	samples    int
	lastSeen   int
	pairLost   bool      // since the last decide, a neighbour in force has made room
	features   []float64 // of the sample in work
	gain       []float64
}

// serverEffect is the mean residual on a server.
type serverEffect struct {
	value    float64
	lastSeen int
}

// Estimator holds the estimates of all images. The zero value isn't usable.
type Estimator struct {
	models   map[string]*model
	servers  map[string]*serverEffect
	partner  map[string][]Pair // pairs in force by image, in both directions
	seen     int
	pairLost bool // in this Observe, a model with a pair in force has made room
}

// New returns an estimator without samples.
func New() *Estimator {
	return &Estimator{models: map[string]*model{}, servers: map[string]*serverEffect{}, partner: map[string][]Pair{}}
}

// Observe adds a sample. Samples without an image or a positive value are ignored. It reports whether the pairs in force have changed.
func (e *Estimator) Observe(s Sample) bool {
	if s.Image == "" || s.Value <= 0 {
		return false
	}
	e.seen++
	e.pairLost = false
	m := e.model(s.Image)
	m.lastSeen = e.seen
	m.setFeatures(s, e.seen)
	server := e.server(s.Server)
	y := math.Log(s.Value) - server.value
	if m.samples == 0 {
		m.beta[0] = y
	}
	residual := y - m.predict()
	limit := maxResidual * math.Sqrt(m.variance)
	server.value = (1-serverRate)*server.value + serverRate*min(max(residual, -limit), limit)
	m.update(residual)
	if !m.decide() && !e.pairLost {
		return false
	}
	e.rebuild()
	return true
}

func (e *Estimator) server(id string) *serverEffect {
	s := e.servers[id]
	if s == nil {
		if len(e.servers) >= maxServers {
			oldest, lastSeen := "", e.seen
			for other, o := range e.servers {
				if o.lastSeen < lastSeen {
					oldest, lastSeen = other, o.lastSeen
				}
			}
			delete(e.servers, oldest)
		}
		s = &serverEffect{}
		e.servers[id] = s
	}
	s.lastSeen = e.seen
	return s
}

func (e *Estimator) model(image string) *model {
	if m := e.models[image]; m != nil {
		return m
	}
	if len(e.models) >= maxImages {
		oldest := ""
		for name, m := range e.models {
			if oldest == "" || m.lastSeen < e.models[oldest].lastSeen {
				oldest = name
			}
		}
		e.pairLost = slices.ContainsFunc(e.models[oldest].neighbours, func(n neighbour) bool { return n.inForce })
		delete(e.models, oldest)
	}
	m := &model{variance: initialDeviation * initialDeviation}
	m.grow()
	e.models[image] = m
	return m
}

// grow adds a coefficient about which nothing is known.
func (m *model) grow() {
	n := len(m.beta) + 1
	m.beta = append(m.beta, 0)
	for i := range m.cov {
		m.cov[i] = append(m.cov[i], 0)
	}
	row := make([]float64, n)
	row[n-1] = priorVariance
	m.cov = append(m.cov, row)
	m.features, m.gain = make([]float64, n), make([]float64, n)
}

// reset forgets a coefficient.
func (m *model) reset(i int) {
	m.beta[i] = 0
	for k := range m.cov {
		m.cov[i][k], m.cov[k][i] = 0, 0
	}
	m.cov[i][i] = priorVariance
}

// setFeatures translates the images beside a task into the features of the fit.
func (m *model) setFeatures(s Sample, now int) {
	clear(m.features)
	m.features[0] = 1
	for _, b := range s.Beside {
		if b.Tasks <= 0 {
			continue
		}
		i := m.index(b.Image)
		m.features[i+1] += b.Tasks
		n := &m.neighbours[i]
		n.lastSeen = now
		n.samples++
		if len(n.servers) < minServers && !slices.Contains(n.servers, s.Server) {
			n.servers = append(n.servers, s.Server)
		}
	}
}

// index returns the position of an image among the neighbours, and adds it if it is new.
func (m *model) index(image string) int {
	oldest := 0
	for i := range m.neighbours {
		if m.neighbours[i].image == image {
			return i
		}
		if m.neighbours[i].lastSeen < m.neighbours[oldest].lastSeen {
			oldest = i
		}
	}
	if len(m.neighbours) < maxNeighbours {
		m.neighbours = append(m.neighbours, neighbour{image: image})
		features := m.features
		m.grow()
		copy(m.features, features)
		return len(m.neighbours) - 1
	}
	m.pairLost = m.pairLost || m.neighbours[oldest].inForce
	m.neighbours[oldest] = neighbour{image: image}
	m.features[oldest+1] = 0
	m.reset(oldest + 1)
	return oldest
}

func (m *model) predict() float64 {
	y := 0.0
	for i, x := range m.features {
		y += x * m.beta[i]
	}
	return y
}

// update is a step of recursive least squares.
func (m *model) update(residual float64) {
	m.samples++
	deviation := math.Sqrt(m.variance)
	residual = min(max(residual, -maxResidual*deviation), maxResidual*deviation)
	if m.samples > 1 {
		weight := max(1/float64(m.samples), 1.0/memory)
		m.variance = max((1-weight)*m.variance+weight*residual*residual, minDeviation*minDeviation)
	}
	denominator := 1.0
	for i := range m.gain {
		m.gain[i] = 0
		for k, x := range m.features {
			m.gain[i] += m.cov[i][k] * x
		}
		denominator += m.features[i] * m.gain[i]
	}
	for i := range m.beta {
		m.beta[i] += m.gain[i] / denominator * residual
		for k := range m.beta {
			m.cov[i][k] -= m.gain[i] * m.gain[k] / denominator
		}
	}
	// Old samples lose weight: each variance grows, up to that of a coefficient that has not been observed.
	const growth = 1 + 1.0/memory
	for i := range m.cov {
		if m.cov[i][i]*growth > priorVariance {
			continue
		}
		root := math.Sqrt(growth)
		for k := range m.cov {
			m.cov[i][k] *= root
			m.cov[k][i] *= root
		}
	}
}

// decide brings estimates into force and out of it. It reports whether a pair or its factor has changed noticeably.
func (m *model) decide() bool {
	changed := m.pairLost
	m.pairLost = false
	for i := range m.neighbours {
		n := &m.neighbours[i]
		estimate := m.beta[i+1]
		err := math.Sqrt(m.cov[i+1][i+1] * m.variance)
		errors := enterErrors
		if n.inForce {
			errors = leaveErrors
		}
		inForce := n.samples >= minSamples && len(n.servers) >= minServers && estimate-errors*err > math.Log(minFactor)
		factor := 1.0
		if inForce {
			factor = math.Exp(estimate)
		}
		if inForce != n.inForce || math.Abs(factor-n.factor) > 0.1*n.factor {
			changed = changed || inForce || n.inForce
			n.inForce, n.factor = inForce, factor
		}
	}
	return changed
}

// rebuild derives the pairs by image from the models.
func (e *Estimator) rebuild() {
	clear(e.partner)
	for _, p := range e.Pairs() {
		e.partner[p.Image] = append(e.partner[p.Image], p)
		if p.Beside != p.Image {
			e.partner[p.Beside] = append(e.partner[p.Beside], p)
		}
	}
}

// Pairs returns the estimates in force, ordered by image.
func (e *Estimator) Pairs() []Pair {
	pairs := []Pair{}
	for image, m := range e.models {
		for _, n := range m.neighbours {
			if n.inForce {
				pairs = append(pairs, Pair{image, n.image, n.factor, n.samples})
			}
		}
	}
	slices.SortFunc(pairs, func(a, b Pair) int { return cmp.Or(cmp.Compare(a.Image, b.Image), cmp.Compare(a.Beside, b.Beside)) })
	return pairs
}

// Involving returns the pairs in force in which tasks of an image slow others down or are slowed down, with the numbers of samples of the last change of a
// factor. The result must not be changed.
func (e *Estimator) Involving(image string) []Pair { return e.partner[image] }

// Other returns the image of the pair that isn't the given one, or the image itself if its tasks slow each other down.
func (p Pair) Other(image string) string {
	if p.Image == image {
		return p.Beside
	}
	return p.Image
}
