// Package disk keeps a voter's data folder.
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
// # What is synced, and when
//
// The log library syncs the file's data with every write, but neither the
// directory when it makes a file nor after it truncates, and it has no
// checksums. So the package never truncates a log and lets it have one file
// only: a record replaces the entries from its first index on, and a new
// snapshot starts a new generation. Its files are written and synced, then the
// directories, and only then does an atomic replacement of current, synced in
// turn, make it the one in use. The old generation is removed after that.
//
// # Damage
//
// A group of batches is one record, written and synced before the next one
// begins. So a crash can tear only the last record; it is cut, and nothing in it
// was acknowledged. A bad record that is followed by a good one, or any other
// file that fails its checksum, is damage: Open refuses with
// [result.DiskDamaged] and leaves the files as they are. Damage that hits
// exactly the last record long after it was synced cannot be told from a torn
// one.
package disk
