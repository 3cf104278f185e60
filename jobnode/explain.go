package jobnode

import (
	"encoding/json"
	"errors"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/operatorapi"
)

// unnamedJob is the id of an explained job whose path names none.
const unnamedJob = "0000000000000000"

// explain answers an operator's query for what would happen to a call that submits a job. It stores and sends nothing.
func (d *dispatcher) explain(args []byte) (any, error) {
	var query operatorapi.ExplainQuery
	if err := json.Unmarshal(args, &query); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err)
	}
	v := d.operators.view()
	var answer operatorapi.ExplainAnswer
	if v.config != nil {
		if route := findRoute(v.config, query.Host, query.Path); route != nil {
			answer.Queue = route.Name
		}
	}
	sub, err := d.explainedSubmission(v, query)
	if err != nil {
		answer.Refused, answer.Message = string(errkind.Of(err)), err.Error()
		return answer, nil
	}
	answer.Known = d.follower.known(sub.ID)
	var e dispatch.Explanation
	d.update(func(c *dispatch.Core) { e = c.Explain(&sub) })
	var refused *retryAfterError
	if err := checkOpenJobs(sub.ID, d.follower.openJobs()); !answer.Known && errors.As(err, &refused) {
		e.Accepted, e.Reason, e.RetryAfterMS = false, err.Error(), refused.after.Milliseconds()
	}
	answer.Job = &e
	return answer, nil
}

// explainedSubmission returns the submission that a call would make.
func (d *dispatcher) explainedSubmission(v operatorView, query operatorapi.ExplainQuery) (jobs.Submission, error) {
	t, err := findTarget(v, query.Host, query.Path, query.Key)
	if err != nil {
		return jobs.Submission{}, err
	}
	if t.id == "" {
		t.id = unnamedJob
	}
	if !jobs.ValidID(t.id) {
		return jobs.Submission{}, errkind.New(errkind.BadRequest, "%q is not the id of a job", t.id)
	}
	limit := v.config.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if int64(len(query.Body)) > limit {
		return jobs.Submission{}, errkind.New(errkind.BodyTooLarge, "the body has more than %d bytes", limit)
	}
	return newSubmission(t, query.Body)
}
