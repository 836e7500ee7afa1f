package membership

import "github.com/eelgrasshub/eelgrasshub/gang"

func compareTasks(a, b gang.Task) int { return a.ID.Compare(b.ID) }
