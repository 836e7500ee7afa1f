package store

import "github.com/eelgrasshub/eelgrasshub/store/internal/v3json"

// swapOp returns the swap as a nested transaction that reads the key if the comparison
// fails.
func swapOp(s Swap) v3json.RequestOp {
	key := []byte(s.Key)
	write := v3json.RequestOp{Put: &v3json.PutRequest{Key: key, Value: s.Value, Lease: int64(s.Lease)}}
	if s.Delete {
		write = v3json.RequestOp{Delete: &v3json.DeleteRangeRequest{Key: key}}
	}
	return v3json.RequestOp{Txn: &v3json.TxnRequest{
		Compare: []v3json.Compare{{
			Key:         key,
			Target:      v3json.TargetMod,
			Result:      v3json.ResultEqual,
			ModRevision: int64(s.Expect),
		}},
		Success: []v3json.RequestOp{write},
		Failure: []v3json.RequestOp{readOp(s.Key)},
	}}
}

func readOp(key string) v3json.RequestOp {
	return v3json.RequestOp{Range: &v3json.RangeRequest{Key: []byte(key)}}
}

// keyAfterSwap returns the key after a swap that took effect at the given revision.
func keyAfterSwap(s Swap, revision Revision) KeyValue {
	if s.Delete {
		return KeyValue{Key: s.Key}
	}
	kv := KeyValue{Key: s.Key, Value: s.Value, Mod: revision, Lease: s.Lease}
	if s.Expect == 0 {
		kv.Created = revision
	}
	return kv
}

// keyFromRange returns the key from the response to a read of one key. Mod is zero if
// it does not exist.
func keyFromRange(key string, res *v3json.RangeResponse) KeyValue {
	if res == nil || len(res.Kvs) == 0 {
		return KeyValue{Key: key}
	}
	return keyValueFromJSON(res.Kvs[0])
}

// keyFromFailure returns the key that the failure branch of a swap has read.
func keyFromFailure(key string, res *v3json.TxnResponse) KeyValue {
	if len(res.Responses) == 0 {
		return KeyValue{Key: key}
	}
	return keyFromRange(key, res.Responses[0].Range)
}
