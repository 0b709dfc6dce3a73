package main

import (
	"os"
	"time"
)

// Figures of the case drill: the copy of the store is taken before the streams begin, and comes back after
// copyAge. The store is away for awayFor before that.
const (
	copyAge = 3 * time.Second
	awayFor = 400 * time.Millisecond
	// killAfterReturn is the time between the return of the store and the end of a process.
	killAfterReturn = 1500 * time.Millisecond
)

// drill plays streams that begin at another software version than the planned one, a drill in which the store comes
// back from a copy, and the end of the process that began them.
func drill(s *scene) (int, error) {
	var k storeCopy
	mode := os.Getenv("TROUBLE")
	return s.playStreams(func() {
		k = s.store.copyRows()
	}, func(all []*machine) error {
		if !s.trouble {
			return nil
		}
		time.Sleep(time.Until(k.taken.Add(copyAge - awayFor)))
		s.noteRecords()
		if mode != "kill" {
			s.note("the store is away")
			s.store.leave()
			time.Sleep(awayFor)
			s.store.comeBack(k)
		}
		time.Sleep(killAfterReturn)
		s.noteRecords()
		if mode != "drill" {
			s.note("%s is killed", all[0].name)
			all[0].kill()
		}
		return nil
	})
}

func init() { cases["drill"] = drill }
