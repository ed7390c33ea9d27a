// Package crash holds the evidence that tasks crash their hosts: which runs may have caused a
// crash, the crashes that are counted for a task, what they show, and how often the tasks of a
// queue have crashed hosts of late. It names hosts by ID only.
package crash
