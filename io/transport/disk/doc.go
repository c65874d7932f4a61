// Package disk stores a voter's part of the replicated log in a data folder.
//
// The folder holds five kinds of files:
//
//	lock          locked while a process uses the folder
//	identity      the daemon's name and the random id of this disk
//	current       the number G of the generation in use
//	snapshot-G    the snapshot of the generation, if it has one
//	log-G/        the log of the generation, in the format of tidwall/wal
//
// Every file and every record of the log carries a checksum.
//
// # Durability
//
// The log library syncs the file's data on every write, but it doesn't sync the
// directory after creating a file or after truncating, and it has no checksums.
// The package therefore never truncates a log and limits it to one segment file:
// a record replaces all entries from its first index on, and a new snapshot
// starts a new generation. The files of the new generation are written and
// synced, then the directories. Only then is current replaced atomically and
// synced, which puts the generation into use. The old one is removed last.
//
// # Corruption
//
// A group of batches is one record, which is written and synced before the next
// one is started. A crash can therefore tear only the last record. Open truncates
// a torn record, since nothing in it was acknowledged. An invalid record that is
// followed by a valid one, or any other file that fails its checksum, is
// corruption: Open fails with [result.DiskDamaged] and leaves the files as they
// are. Corruption of exactly the last record after it was synced can't be
// distinguished from a torn write.
package disk
