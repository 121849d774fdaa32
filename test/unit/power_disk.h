/**
 * @file
 * A folder that loses what was not synced when the power fails. Its Sync()
 * stands in for fsync() by store_faults_t.
 */
#ifndef TM_TEST_POWER_DISK_H
#define TM_TEST_POWER_DISK_H

#include <gtest/gtest.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <string>

extern "C" {
#include "base/rng.h"
}

inline std::string
ReadFile(const std::string &path)
{
	std::ifstream in(path, std::ios::binary);

	return (std::string(std::istreambuf_iterator<char>(in), {}));
}

// A folder of which a loss of power leaves what was synced. Of what was not, any
// part may be left: names as they were or are, and files up to any length.
class PowerDisk {
      public:
	// What the folder holds counts as synced.
	PowerDisk(const std::string &path, rng_t *rng) : path_(path), rng_(rng)
	{
		names_ = ListNames();
		for (const auto &[inode, fd] : opened_)
			files_[inode] = ReadOpen(fd);
	}

	~PowerDisk()
	{
		for (const auto &[inode, fd] : opened_)
			close(fd);
	}

	// store_faults_t.sync
	static void
	Sync(void *ctx, int fd)
	{
		static_cast<PowerDisk *>(ctx)->Record(fd);
	}

	void
	LosePower()
	{
		std::map<std::string, ino_t> names =
		    rng_below(rng_, 2) == 0 ? names_ : ListNames();
		std::map<std::string, std::string> left;

		for (const auto &[name, inode] : names)
			left[name] = GetLeft(inode);
		for (const auto &item :
		    std::filesystem::directory_iterator(path_))
			std::filesystem::remove(item.path());
		for (const auto &[name, content] : left) {
			std::ofstream(path_ + "/" + name, std::ios::binary)
			    << content;
		}
		files_.clear();
		names_ = ListNames();
		for (const auto &[name, inode] : names_)
			files_[inode] = left[name];
	}

      private:
	// Opens a file for as long as the disk lives: its inode is not reused.
	void
	Keep(ino_t inode, const std::string &path)
	{
		int fd;

		if (opened_.count(inode) > 0)
			return;
		fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
		ASSERT_GE(fd, 0);
		opened_[inode] = fd;
	}

	std::map<std::string, ino_t>
	ListNames()
	{
		std::map<std::string, ino_t> names;
		struct stat info;

		for (const auto &item :
		    std::filesystem::directory_iterator(path_)) {
			stat(item.path().c_str(), &info);
			names[item.path().filename()] = info.st_ino;
			Keep(info.st_ino, item.path());
		}
		return (names);
	}

	static std::string
	ReadOpen(int fd)
	{
		return (ReadFile("/proc/self/fd/" + std::to_string(fd)));
	}

	void
	Record(int fd)
	{
		struct stat info;
		struct stat folder;

		fstat(fd, &info);
		stat(path_.c_str(), &folder);
		if (info.st_ino == folder.st_ino) {
			names_ = ListNames();
			DropRemoved();
		} else if (S_ISREG(info.st_mode)) {
			Keep(
			    info.st_ino, "/proc/self/fd/" + std::to_string(fd));
			files_[info.st_ino] = ReadOpen(fd);
		}
	}

	// A file without a name, now and on the disk, does not come back.
	void
	DropRemoved()
	{
		std::set<ino_t> named;

		for (const auto &[name, inode] : names_)
			named.insert(inode);
		for (auto at = opened_.begin(); at != opened_.end();) {
			if (named.count(at->first) > 0) {
				at++;
				continue;
			}
			close(at->second);
			files_.erase(at->first);
			at = opened_.erase(at);
		}
	}

	std::string
	GetLeft(ino_t inode)
	{
		std::string synced = files_[inode];
		std::string now = ReadOpen(opened_[inode]);
		size_t more;

		if (rng_below(rng_, 2) == 0)
			return (synced);
		if (now.compare(0, synced.size(), synced) != 0)
			return (now);
		more = now.size() - synced.size();
		return (now.substr(
		    0, synced.size() + rng_below(rng_, (uint32_t)more + 1)));
	}

	std::string path_;
	rng_t *rng_;
	std::map<std::string, ino_t> names_; // synced
	std::map<ino_t, std::string> files_; // synced
	std::map<ino_t, int> opened_;
};

#endif
